/*
 * The preferred writer of a shard: all other nodes forward their operations to
 * it, so that few transactions conflict. Safety depends on compare-and-swap
 * alone; a wrong or unresponsive preferred writer only adds delay.
 */
#include <stdlib.h>
#include <string.h>

#include "booking_internal.h"

/* Nothing is forwarded to a writer for this time after it did not reply. */
#define UNRESPONSIVE_MS 5000
#define MESSAGE_MAX_BYTES 8192
/* Upper bound of the deadline of an operation from another node. */
#define FORWARDED_MAX_MS 60000

static const char *const kind_names[OP_KIND_COUNT] = {
    [OP_CLAIM] = "claim",
    [OP_OUTCOME] = "outcome",
};

static const char *const result_names[OP_RESULT_COUNT] = {
    [OP_PENDING] = "pending",
    [OP_APPLIED] = "applied",
    [OP_EXISTS] = "exists",
    [OP_FULL] = "full",
    [OP_ABSENT] = "absent",
    [OP_FAILED] = "failed",
};

/* Rendezvous hashing: the member with the highest hash for this shard. */
static const char *
preferred_writer(const struct ld_booking *b, uint32_t shard)
{
	const char *best = b->node;
	uint64_t best_hash = 0;

	for (size_t i = 0; i < b->n_members; i++) {
		uint64_t h = ld_hash64(ld_str_c(b->members[i]), shard + 1);

		if (h < best_hash)
			continue;
		best = b->members[i];
		best_hash = h;
	}
	return best;
}

static void
send_message(struct ld_booking *b, uint64_t now_ms, const char *to, json_t *o)
{
	struct ld_booking_action *a =
	    booking_queue_action(b, LD_BOOKING_MESSAGE);
	struct ld_buf *payload = booking_payload(b);
	json_int_t wall = (json_int_t)booking_wall(b, now_ms);
	char *text;
	size_t len;

	json_object_set_new(o, "wall", json_integer(wall));
	text = json_dumps(o, JSON_COMPACT);
	len = strlen(text);
	/* One buffer holds both the message and the node id. */
	ld_buf_adds(payload, ld_str_c(text));
	ld_buf_adds(payload, ld_str_c(to));
	a->bytes = (struct ld_str){payload->p, len};
	a->to = (struct ld_str){payload->p + len, payload->len - len};
	free(text);
	json_decref(o);
}

bool
forward_op(struct ld_booking *b, uint64_t now_ms, struct op *o)
{
	const char *writer = preferred_writer(b, o->shard);
	uint64_t ms;
	json_t *m;

	if (strcmp(writer, b->node) == 0)
		return false;
	if (b->unresponsive_node != NULL && now_ms < b->unresponsive_until_ms &&
	    strcmp(writer, b->unresponsive_node) == 0)
		return false;
	ms = o->deadline_ms > now_ms ? o->deadline_ms - now_ms : 0;
	m = json_object();
	json_object_set_new(m, "ask", json_string(kind_names[o->kind]));
	json_object_set_new(m, "shard", json_integer(o->shard));
	json_object_set_new(m, "ms", json_integer((json_int_t)ms));
	json_object_set_new(m, "record", record_json(&o->rec));
	send_message(b, now_ms, writer, m);
	o->forward_until_ms = now_ms + b->config.forward_timeout_ms;
	b->counters.forwarded++;
	return true;
}

void
forward_timed_out(struct ld_booking *b, uint64_t now_ms, uint32_t shard)
{
	const char *writer = preferred_writer(b, shard);

	b->counters.forward_timeouts++;
	free(b->unresponsive_node);
	b->unresponsive_node = ld_strdup(writer);
	b->unresponsive_until_ms = now_ms + UNRESPONSIVE_MS;
}

void
forward_reply(struct ld_booking *b, uint64_t now_ms, const struct op *o)
{
	json_t *m = json_object();

	json_object_set_new(m, "reply", json_string(kind_names[o->kind]));
	json_object_set_new(m, "shard", json_integer(o->shard));
	json_object_set_new(m, "record", record_json(&o->rec));
	json_object_set_new(m, "result", json_string(result_names[o->result]));
	json_object_set_new(m, "unsure", json_boolean(o->maybe_written));
	json_object_set_new(m, "seen_absent", json_boolean(o->seen_absent));
	if (o->found != NULL)
		json_object_set_new(m, "found", record_json(o->found));
	send_message(b, now_ms, o->from, m);
}

/* ---- Received messages ---- */

static int
index_of(const char *text, const char *const *names, int n)
{
	for (int i = 0; i < n && text != NULL; i++) {
		if (strcmp(text, names[i]) == 0)
			return i;
	}
	return -1;
}

static bool
get_shard(const struct ld_booking *b, const json_t *m, uint32_t *out)
{
	const json_t *v = json_object_get(m, "shard");

	if (!json_is_integer(v) || json_integer_value(v) < 0 ||
	    json_integer_value(v) >= (json_int_t)b->config.shards)
		return false;
	*out = (uint32_t)json_integer_value(v);
	return true;
}

/*
 * The deadline is the remaining time sent by the requesting node, which keeps
 * to its own deadline: this node must not work on the operation for longer.
 */
static bool
handle_request(struct ld_booking *b, uint64_t now_ms, struct ld_str from,
    const json_t *m, const struct record *rec)
{
	int kind = index_of(json_string_value(json_object_get(m, "ask")),
	    kind_names, OP_KIND_COUNT);
	json_int_t ms = json_integer_value(json_object_get(m, "ms"));
	uint32_t shard;
	struct op *o;

	if (kind < 0 || ms <= 0 || !get_shard(b, m, &shard) ||
	    (kind == OP_CLAIM) != (rec->state == RECORD_CLAIMED))
		return false;
	o = op_new((enum op_kind)kind, rec, shard);
	o->from = ld_str_dup(from);
	o->deadline_ms =
	    now_ms + (uint64_t)(ms < FORWARDED_MAX_MS ? ms : FORWARDED_MAX_MS);
	shard_submit(b, now_ms, o);
	return true;
}

static struct op *
find_forwarded(struct shard *s, int kind, uint64_t attempt)
{
	struct op *o = s->ops;

	while (o != NULL &&
	    (o->from != NULL || (int)o->kind != kind ||
		o->rec.attempt != attempt || o->result != OP_PENDING))
		o = o->next;
	return o;
}

static void
apply_reply(struct op *o, const json_t *m, enum op_result result)
{
	o->maybe_written |= json_is_true(json_object_get(m, "unsure"));
	o->seen_absent |= json_is_true(json_object_get(m, "seen_absent"));
	/* This node retries an operation that the writer could not complete. */
	if (result == OP_FAILED || result == OP_PENDING ||
	    (result == OP_ABSENT && o->maybe_written)) {
		if (o->state == OP_FORWARDED)
			o->state = OP_QUEUED;
		return;
	}
	o->result = result;
}

static bool
handle_reply(struct ld_booking *b, const json_t *m, const struct record *rec)
{
	int kind = index_of(json_string_value(json_object_get(m, "reply")),
	    kind_names, OP_KIND_COUNT);
	int result = index_of(json_string_value(json_object_get(m, "result")),
	    result_names, OP_RESULT_COUNT);
	struct record *found;
	uint32_t shard;
	struct op *o;

	if (kind < 0 || result < 0 || !get_shard(b, m, &shard))
		return false;
	o = find_forwarded(&b->shards[shard], kind, rec->attempt);
	if (o == NULL)
		return true;
	if (result == OP_EXISTS) {
		found = ld_alloc(sizeof(*found));
		if (!record_parse(json_object_get(m, "found"), found)) {
			record_fini(found);
			free(found);
			return false;
		}
		o->found = found;
		o->owns_found = true;
	}
	apply_reply(o, m, (enum op_result)result);
	return true;
}

void
ld_booking_message(struct ld_booking *b, uint64_t now_ms, struct ld_str from,
    struct ld_str bytes)
{
	struct record rec = {0};
	const json_t *wall;
	json_t *m = NULL;
	bool ok;

	booking_begin_event(b);
	if (bytes.len > 0 && bytes.len <= MESSAGE_MAX_BYTES)
		m = json_loadb(
		    bytes.p, bytes.len, JSON_REJECT_DUPLICATES, NULL);
	wall = json_object_get(m, "wall");
	ok = from.len > 0 && json_is_integer(wall) &&
	    record_parse(json_object_get(m, "record"), &rec);
	if (ok)
		booking_note_peer_clock(
		    b, now_ms, (uint64_t)json_integer_value(wall));
	if (ok && json_object_get(m, "ask") != NULL)
		ok = handle_request(b, now_ms, from, m, &rec);
	else if (ok)
		ok = handle_reply(b, m, &rec);
	if (!ok)
		b->counters.malformed++;
	record_fini(&rec);
	json_decref(m);
	booking_run(b, now_ms);
}
