/* A replica that lacks a member serves nothing; streams resume on another. */
#include <string.h>
#include <unistd.h>

#include "ld_fleet.h"
#include "ld_test.h"

#define TOKENS 150 /* 7.5 s at TOKEN_MS a token */
#define TOKEN_MS 50
#define STREAMS 6
#define PROMPT "a stream that meets a failure"
/* Fresh reports are at most health.stale_ms old, and probes take a while. */
#define NOTICE_MS 3500

static struct ld_fleet fleet;
static struct ld_stream streams[STREAMS];

static void
start_streams(void)
{
	for (int i = 0; i < STREAMS; i++)
		ld_stream_start(&fleet.s, &streams[i],
		    fleet.nodes[i % fleet.o.nodes]->address, LD_FLEET_SHOP_KEY,
		    PROMPT, TOKENS);
	for (int i = 0; i < STREAMS; i++)
		ld_session_expect(&fleet.s,
		    ld_stream_wait_tokens(&streams[i], 5, LD_WAIT_MS),
		    "no token came");
}

/* Ends the streams; each must be whole, or with @may_fail a typed error. */
static unsigned int
expect_streams(bool may_fail)
{
	unsigned int whole = 0;

	for (int i = 0; i < STREAMS; i++) {
		const char *verdict;

		ld_stream_join(&streams[i]);
		verdict = ld_stream_check(&streams[i], PROMPT, TOKENS);
		whole += strcmp(verdict, "whole") == 0;
		ld_session_expect(&fleet.s,
		    strcmp(verdict, "whole") == 0 ||
			(may_fail && strcmp(verdict, "error") == 0),
		    verdict);
		if (strcmp(verdict, "whole") != 0)
			printf("stream %d: %ld ... %s\n", i,
			    streams[i].reply.code, ld_stream_end(&streams[i]));
		ld_stream_free(&streams[i]);
	}
	return whole;
}

static json_int_t
tokens_from(int replica)
{
	json_t *ledger = ld_get_json(
	    &fleet.s, ld_fleet_engine(&fleet, replica, 0)->address, "/ledger");
	json_t *calls = json_object_get(ledger, "calls");
	json_int_t running = 0;
	json_t *c;
	size_t i;

	json_array_foreach(calls, i, c) running +=
	    json_is_false(json_object_get(c, "finished")) &&
	    json_is_false(json_object_get(c, "cancelled")) &&
	    json_object_get(c, "ended_ms") == NULL;
	json_decref(ledger);
	return running;
}

static bool
head_is_idle(void *arg)
{
	return tokens_from(0) == 0;
}

/* The head is alive and keeps generating: its output must not be used. */
static void
lose_member(const char *name, void (*lose)(struct ld_proc *p))
{
	unsigned int whole;

	ld_fleet_begin(&fleet, name,
	    &(struct ld_fleet_options){.nodes = 1, .token_ms = TOKEN_MS});
	start_streams();
	lose(ld_fleet_engine(&fleet, 0, 1));
	ld_session_expect(&fleet.s,
	    ld_wait_until(head_is_idle, NULL, NOTICE_MS),
	    "a replica without its member still generates for callers");
	whole = expect_streams(false);
	printf("%s: %u of %d streams whole\n", name, whole, STREAMS);
	ld_thaw(ld_fleet_engine(&fleet, 0, 1));
	ld_fleet_end(&fleet);
}

static void
test_killed_member(void)
{
	lose_member("member-killed", ld_kill);
}

static void
test_frozen_member(void)
{
	lose_member("member-frozen", ld_freeze);
}

static void
test_killed_head(void)
{
	ld_fleet_begin(&fleet, "head-killed",
	    &(struct ld_fleet_options){.nodes = 1, .token_ms = TOKEN_MS});
	start_streams();
	ld_kill(ld_fleet_engine(&fleet, 0, 0));
	expect_streams(false);
	ld_fleet_end(&fleet);
}

/* The connection stays open and silent: only a deadline detects it. */
static void
test_frozen_head(void)
{
	ld_fleet_begin(&fleet, "head-frozen",
	    &(struct ld_fleet_options){.nodes = 1, .token_ms = TOKEN_MS});
	start_streams();
	ld_freeze(ld_fleet_engine(&fleet, 0, 0));
	expect_streams(false);
	ld_thaw(ld_fleet_engine(&fleet, 0, 0));
	ld_fleet_end(&fleet);
}

/* The member answers at once again, but has lost its state. */
static void
test_member_returns_empty(void)
{
	ld_fleet_begin(&fleet, "member-forgot",
	    &(struct ld_fleet_options){.nodes = 1, .token_ms = TOKEN_MS});
	start_streams();
	ld_fault(&fleet.s, ld_fleet_engine(&fleet, 0, 1)->address,
	    "{\"mode\":\"forget\"}");
	ld_session_expect(&fleet.s,
	    ld_wait_until(head_is_idle, NULL, NOTICE_MS),
	    "a replica whose member holds nothing still generates");
	expect_streams(false);
	ld_fleet_end(&fleet);
}

static void
test_head_cuts_streams(void)
{
	ld_fleet_begin(&fleet, "head-cuts",
	    &(struct ld_fleet_options){.nodes = 1, .token_ms = TOKEN_MS});
	ld_fault(&fleet.s, ld_fleet_engine(&fleet, 0, 0)->address,
	    "{\"mode\":\"cut-after\",\"count\":20}");
	start_streams();
	expect_streams(false);
	ld_fleet_end(&fleet);
}

/* No replica is left: every stream ends at once with a typed error. */
static void
test_whole_fabric_dark(void)
{
	uint64_t dark_ms;

	ld_fleet_begin(&fleet, "fabric-dark",
	    &(struct ld_fleet_options){.nodes = 1, .token_ms = TOKEN_MS});
	start_streams();
	for (int r = 0; r < fleet.o.replicas; r++)
		for (int m = 0; m < fleet.o.members; m++)
			ld_kill(ld_fleet_engine(&fleet, r, m));
	dark_ms = ld_now_ms();
	expect_streams(true);
	ld_session_expect(&fleet.s, ld_now_ms() - dark_ms < NOTICE_MS,
	    "streams did not end soon after the fabric domain went dark");
	ld_fleet_end(&fleet);
}

int
main(void)
{
	static const struct ld_test_case cases[] = {
	    {"a member is killed", test_killed_member},
	    {"a member is frozen", test_frozen_member},
	    {"a head is killed", test_killed_head},
	    {"a head is frozen", test_frozen_head},
	    {"a member returns with nothing", test_member_returns_empty},
	    {"a head cuts its streams", test_head_cuts_streams},
	    {"a whole fabric domain goes dark", test_whole_fabric_dark},
	    {NULL, NULL},
	};

	if (ld_common_init() != LD_OK)
		return 2;
	return ld_test_main("members", cases);
}
