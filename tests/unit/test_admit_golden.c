/* Compares a session of three nodes byte for byte with a golden file. */
#include <string.h>

#include "ld_admit.h"
#include "ld_golden.h"
#include "ld_test.h"

#define NODES 3
#define SEED 9
#define DELAY_MS 5 /* delivery delay of each message */
#define MESSAGES 256

/** struct message - a message in flight */
struct message {
	uint64_t due_ms;
	unsigned int from, to;
	char *bytes;
	size_t len;
};

/** struct session - three nodes and the trace of their actions */
struct session {
	struct ld_admit *nodes[NODES];
	bool stopped[NODES];
	struct message messages[MESSAGES];
	size_t first, count;
	uint64_t now_ms;
	struct ld_buf trace;
};

static const struct ld_admit_entry entries[] = {
    {LD_STR("aalto"), LD_ADMIT_PAID, 20, 4000, 6, 3},
    {LD_STR("quay"), LD_ADMIT_UNPAID, 20, 4000, 6, 0},
};

static void
trace_decision(struct session *s, unsigned int node, const char *what,
    const struct ld_admit_decision *d)
{
	static const char *const verdicts[] = {"yes", "no", "wait"};

	ld_buf_printf(&s->trace, "%llu n%u %s %s ticket=%llu",
	    (unsigned long long)s->now_ms, node + 1, what, verdicts[d->verdict],
	    (unsigned long long)d->ticket);
	if (d->verdict == LD_ADMIT_NO)
		ld_buf_printf(&s->trace, " reason=%s retry=%u",
		    ld_admit_reason_name(d->reason), d->retry_after_ms);
	if (d->promised)
		ld_buf_printf(&s->trace, " promised");
	ld_buf_printf(&s->trace, "\n");
}

static void
send(struct session *s, unsigned int from, const struct ld_admit_action *act)
{
	struct message *m = &s->messages[(s->first + s->count) % MESSAGES];

	CU_ASSERT_FATAL(s->count < MESSAGES);
	s->count++;
	m->due_ms = s->now_ms + DELAY_MS;
	m->from = from;
	m->to = (unsigned int)act->node - 1;
	m->bytes = ld_str_dup(act->bytes);
	m->len = act->bytes.len;
	ld_buf_printf(&s->trace, "%llu n%u send n%u ",
	    (unsigned long long)s->now_ms, from + 1, m->to + 1);
	for (size_t i = 0; i < m->len; i++)
		ld_buf_printf(&s->trace, "%02x", (unsigned char)m->bytes[i]);
	ld_buf_printf(&s->trace, "\n");
}

static void
drain(struct session *s, unsigned int node)
{
	struct ld_admit_action act;

	while (ld_admit_next(s->nodes[node], &act)) {
		if (act.type == LD_ADMIT_SEND) {
			send(s, node, &act);
			continue;
		}
		trace_decision(s, node,
		    act.type == LD_ADMIT_CANCEL ? "cancel" : "decided",
		    &act.decision);
		if (act.type == LD_ADMIT_CANCEL)
			ld_admit_done(
			    s->nodes[node], s->now_ms, act.decision.ticket);
	}
}

static void
deliver_due(struct session *s)
{
	struct message *m;

	while (s->count > 0) {
		m = &s->messages[s->first];
		if (m->due_ms > s->now_ms)
			break;
		s->first = (s->first + 1) % MESSAGES;
		s->count--;
		if (!s->stopped[m->to]) {
			ld_admit_message(s->nodes[m->to], s->now_ms,
			    m->from + 1, (struct ld_str){m->bytes, m->len});
			drain(s, m->to);
		}
		free(m->bytes);
	}
}

static void
advance(struct session *s, uint64_t by_ms)
{
	for (uint64_t until = s->now_ms + by_ms; s->now_ms < until;) {
		s->now_ms += DELAY_MS;
		deliver_due(s);
		for (unsigned int i = 0; i < NODES; i++) {
			if (s->stopped[i] || s->now_ms % LD_ADMIT_TICK_MS != 0)
				continue;
			ld_admit_tick(s->nodes[i], s->now_ms);
			drain(s, i);
		}
	}
}

static uint64_t
request(struct session *s, unsigned int node, unsigned int owner)
{
	struct ld_admit_decision d;

	ld_buf_printf(&s->trace, "%llu n%u request %s\n",
	    (unsigned long long)s->now_ms, node + 1, entries[owner].owner.p);
	ld_admit_request(
	    s->nodes[node], s->now_ms, entries[owner].owner, 50, &d);
	trace_decision(s, node, "answer", &d);
	drain(s, node);
	return d.ticket;
}

static void
members(struct session *s, bool third_live)
{
	struct ld_admit_member list[] = {
	    {1, LD_STR("z1"), true},
	    {2, LD_STR("z1"), true},
	    {3, LD_STR("z2"), third_live},
	};

	for (unsigned int i = 0; i < NODES; i++) {
		if (s->stopped[i])
			continue;
		ld_admit_members(s->nodes[i], s->now_ms, list, NODES);
		drain(s, i);
	}
}

static void
capacity(struct session *s, uint64_t slots)
{
	ld_buf_printf(&s->trace, "%llu capacity %llu\n",
	    (unsigned long long)s->now_ms, (unsigned long long)slots);
	for (unsigned int i = 0; i < NODES; i++) {
		ld_admit_capacity(s->nodes[i], s->now_ms, slots);
		drain(s, i);
	}
}

static void
catalogue(struct session *s, size_t n)
{
	ld_buf_printf(&s->trace, "%llu catalogue of %zu\n",
	    (unsigned long long)s->now_ms, n);
	for (unsigned int i = 0; i < NODES; i++) {
		ld_admit_catalogue(s->nodes[i], s->now_ms, entries, n);
		drain(s, i);
	}
}

/* Loans, requests for loans, freeze and resume, preemption, a removed entry. */
static void
play(struct session *s)
{
	uint64_t first;

	members(s, true);
	capacity(s, 10);
	catalogue(s, 2);
	advance(s, 500);
	first = request(s, 0, 0);
	for (int i = 0; i < 6; i++)
		request(s, 1, 1);
	advance(s, 200);
	ld_admit_add_tokens(s->nodes[0], s->now_ms, first, 50);
	ld_admit_done(s->nodes[0], s->now_ms, first);
	capacity(s, 4);
	advance(s, 200);
	request(s, 2, 0);
	request(s, 2, 0);
	advance(s, 200);
	s->stopped[2] = true;
	advance(s, 1000);
	members(s, false);
	advance(s, 7000);
	s->stopped[2] = false;
	request(s, 2, 0);
	members(s, true);
	advance(s, 1000);
	catalogue(s, 1);
	advance(s, 200);
}

static void
test_golden_session(void)
{
	struct session *s = ld_alloc(sizeof(*s));

	for (unsigned int i = 0; i < NODES; i++) {
		struct ld_admit_config c = {.node = i + 1, .seed = SEED + i};

		s->nodes[i] = ld_admit_new(&c, 0);
	}
	play(s);
	golden_check("tests/golden/admit_session.txt", &s->trace);
	for (unsigned int i = 0; i < NODES; i++)
		ld_admit_free(s->nodes[i]);
	for (; s->count > 0; s->count--)
		free(s->messages[(s->first + s->count - 1) % MESSAGES].bytes);
	ld_buf_free(&s->trace);
	free(s);
}

int
main(void)
{
	static const struct ld_test_case cases[] = {
	    {"golden session of three nodes", test_golden_session},
	    {NULL, NULL},
	};

	if (ld_common_init() != LD_OK)
		return 2;
	return ld_test_main("admit_golden", cases);
}
