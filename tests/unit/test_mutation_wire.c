/* Mutation tests of frames and messages between nodes. */
#include <string.h>

#include "ld_admit.h"
#include "ld_health.h"
#include "ld_mutate.h"
#include "ld_peers.h"
#include "ld_wire.h"

#define SEED 20261204
#define ROUNDS 15000
#define KEY LD_STR("a key that both nodes have, 32 B")
#define PAYLOADS 3

/* ---- Frames: only payloads that were sealed are opened ---- */

static const struct ld_str payloads[PAYLOADS] = {
    {"first", 5},
    {"the second payload, somewhat longer", 35},
    {"", 0},
};

static struct ld_wire_session *acceptor;

/* Nonces are fixed, so that a recorded stream can be replayed. */
static struct ld_wire_session *
new_session(enum ld_wire_role role)
{
	struct ld_rand r;

	ld_rand_seed(&r, role == LD_WIRE_DIALER ? 1 : 2);
	return ld_wire_session_new(role, KEY, &r);
}

static void
record_stream(struct ld_buf *out)
{
	struct ld_wire_session *dialer = new_session(LD_WIRE_DIALER);
	struct ld_wire_session *other = new_session(LD_WIRE_ACCEPTOR);
	struct ld_fifo hello = {0};
	struct ld_buf none = {0};

	ld_wire_hello(dialer, out);
	ld_wire_hello(other, ld_fifo_tail(&hello));
	ld_wire_open(dialer, &hello, &none);
	for (int i = 0; i < PAYLOADS; i++)
		CU_ASSERT_EQUAL(ld_wire_seal(dialer, payloads[i], out), LD_OK);
	ld_wire_session_free(dialer);
	ld_wire_session_free(other);
	ld_fifo_free(&hello);
	ld_buf_free(&none);
}

static bool
take_frames(struct ld_str input)
{
	struct ld_fifo in = {0};
	struct ld_buf payload = {0}, hello = {0};
	enum ld_status st;
	int n = 0;

	acceptor = new_session(LD_WIRE_ACCEPTOR);
	ld_wire_hello(acceptor, &hello);
	ld_buf_adds(ld_fifo_tail(&in), input);
	while ((st = ld_wire_open(acceptor, &in, &payload)) == LD_OK) {
		CU_ASSERT_TRUE_FATAL(n < PAYLOADS);
		CU_ASSERT_TRUE(ld_str_eq(ld_buf_str(&payload), payloads[n]));
		n++;
	}
	CU_ASSERT_TRUE(st == LD_E_AGAIN || st == LD_E_TOO_LARGE ||
	    st == LD_E_AUTH || st == LD_E_REPLAY || st == LD_E_PROTOCOL);
	ld_wire_session_free(acceptor);
	ld_fifo_free(&in);
	ld_buf_free(&payload);
	ld_buf_free(&hello);
	return n == PAYLOADS;
}

static void
test_frames(void)
{
	struct ld_mutate_target t = {.name = "frames", .take = take_frames};
	struct ld_buf stream = {0};

	record_stream(&stream);
	ld_mutate_input(&t, ld_buf_str(&stream));
	ld_mutate_run(&t, SEED, ROUNDS);
	ld_buf_free(&stream);
}

/* ---- Messages: a decoded message survives encoding and decoding ---- */

static bool
take_message(struct ld_str input)
{
	struct ld_wire_msg m, again;
	struct ld_buf bytes = {0};
	enum ld_status st = ld_wire_decode(input, &m);

	CU_ASSERT_TRUE(st == LD_OK || st == LD_E_PROTOCOL);
	if (st != LD_OK)
		return false;
	ld_wire_encode(&m, &bytes);
	CU_ASSERT_EQUAL(ld_wire_decode(ld_buf_str(&bytes), &again), LD_OK);
	CU_ASSERT_EQUAL(again.kind, m.kind);
	ld_wire_msg_fini(&again);
	ld_wire_msg_fini(&m);
	ld_buf_free(&bytes);
	return true;
}

static void
add_message(struct ld_mutate_target *t, const struct ld_wire_msg *m)
{
	struct ld_buf bytes = {0};

	ld_wire_encode(m, &bytes);
	ld_mutate_input(t, ld_buf_str(&bytes));
	ld_buf_free(&bytes);
}

static struct ld_wire_member
member(void)
{
	return (struct ld_wire_member){
	    .address = LD_STR("127.0.0.2:8182"),
	    .domain = LD_STR("z1"),
	    .region = LD_STR("r1"),
	    .incarnation = 77,
	    .generation = 3,
	    .version = 1,
	};
}

static void
add_messages(struct ld_mutate_target *t)
{
	struct ld_wire_member self = member();
	struct ld_wire_record record = {.origin = 77,
	    .seq = 5,
	    .kind = LD_PEERS_REC_HEALTH,
	    .key = LD_STR("127.0.0.1:9101"),
	    .value = LD_STR("value")};
	struct ld_wire_entry entry = {77, 1, 2};
	struct ld_wire_msg join = {.kind = LD_WIRE_JOIN};
	struct ld_wire_msg ping = {.kind = LD_WIRE_PING};
	struct ld_wire_msg digest = {.kind = LD_WIRE_DIGEST};
	struct ld_wire_msg records = {.kind = LD_WIRE_RECORDS};
	struct ld_wire_msg snapshot = {.kind = LD_WIRE_CATALOGUE_SNAPSHOT};
	struct ld_wire_msg direct = {.kind = LD_WIRE_DIRECT};

	join.join = (struct ld_wire_join){.self = self, .mesh = true};
	ping.ping = (struct ld_wire_ping){.seq = 9, .echo = 8};
	digest.digest = (struct ld_wire_digest){.has_buckets = true,
	    .differing = 1,
	    .entries = &entry,
	    .entry_count = 1};
	records.records = (struct ld_wire_records){&self, 1, &record, 1};
	snapshot.catalogue =
	    (struct ld_wire_catalogue){41, LD_STR("{\"entries\":[]}")};
	direct.direct = (struct ld_wire_direct){.from = self.address,
	    .from_incarnation = 77,
	    .to = LD_STR("127.0.0.1:8182"),
	    .kind = 1,
	    .bytes = LD_STR("bytes")};
	add_message(t, &join);
	add_message(t, &ping);
	ping.kind = LD_WIRE_ACK;
	add_message(t, &ping);
	add_message(t, &digest);
	add_message(t, &records);
	add_message(t, &snapshot);
	add_message(t, &direct);
}

static void
test_messages(void)
{
	struct ld_mutate_target t = {.name = "messages", .take = take_message};

	add_messages(&t);
	ld_mutate_run(&t, SEED, ROUNDS);
}

/* ---- The same messages, as input of the peers module ---- */

static struct ld_peers *peers;
static uint64_t now_ms;

static void
drop_peer_actions(void)
{
	struct ld_peers_action a;

	while (ld_peers_next_action(peers, &a))
		;
}

static bool
take_by_peers(struct ld_str input)
{
	uint32_t link = ld_peers_accepted(peers, now_ms);

	ld_peers_message(peers, now_ms, link, input);
	drop_peer_actions();
	ld_peers_closed(peers, now_ms, link);
	now_ms += 10;
	ld_peers_tick(peers, now_ms);
	drop_peer_actions();
	return true;
}

static void
test_peers_module(void)
{
	struct ld_mutate_target t = {.name = "peers", .take = take_by_peers};
	struct ld_peers_config config = {
	    .address = LD_STR("127.0.0.1:8182"),
	    .incarnation = 5,
	    .domain = LD_STR("z1"),
	    .region = LD_STR("r1"),
	    .seed = SEED,
	};

	now_ms = 1000;
	peers = ld_peers_new(&config, now_ms);
	add_messages(&t);
	ld_mutate_run(&t, SEED, ROUNDS);
	ld_peers_free(peers);
}

/* ---- Messages of admission ---- */

static struct ld_admit *
new_admit(uint64_t node)
{
	struct ld_admit_config config = {.node = node, .seed = node};
	struct ld_admit_entry entry = {
	    .owner = LD_STR("shop"),
	    .class = LD_ADMIT_PAID,
	    .requests_per_s = 100,
	    .tokens_per_s = 1000,
	    .concurrent = 20,
	    .promised = 4,
	};
	struct ld_admit_member members[] = {
	    {11, LD_STR("z1"), true},
	    {12, LD_STR("z1"), true},
	    {13, LD_STR("z2"), true},
	};
	struct ld_admit *a = ld_admit_new(&config, 1000);

	ld_admit_members(a, 1000, members, 3);
	ld_admit_catalogue(a, 1000, &entry, 1);
	ld_admit_capacity(a, 1000, 64);
	return a;
}

static struct ld_admit *admit;

static void
drop_admit_actions(struct ld_admit *a)
{
	struct ld_admit_action action;

	while (ld_admit_next(a, &action))
		;
}

static bool
take_by_admit(struct ld_str input)
{
	enum ld_status st = ld_admit_message(admit, now_ms, 11, input);

	CU_ASSERT_TRUE(st == LD_OK || st == LD_E_PROTOCOL);
	drop_admit_actions(admit);
	now_ms += 1;
	if (now_ms % LD_ADMIT_TICK_MS == 0)
		ld_admit_tick(admit, now_ms);
	drop_admit_actions(admit);
	return st == LD_OK;
}

/* Records the messages between three nodes while requests arrive. */
static void
record_admission(struct ld_mutate_target *t)
{
	struct ld_admit *nodes[3];
	struct ld_admit_action action;
	struct ld_admit_decision d;

	for (int i = 0; i < 3; i++)
		nodes[i] = new_admit((uint64_t)i + 11);
	for (uint64_t ms = 1000; ms < 9000; ms += LD_ADMIT_TICK_MS) {
		for (int i = 0; i < 3; i++) {
			ld_admit_request(nodes[i], ms, LD_STR("shop"), 10, &d);
			ld_admit_tick(nodes[i], ms);
			while (ld_admit_next(nodes[i], &action)) {
				if (action.type != LD_ADMIT_SEND)
					continue;
				if (t->count < LD_MUTATE_SEEDS_MAX)
					ld_mutate_input(t, action.bytes);
				ld_admit_message(nodes[action.node - 11], ms,
				    (uint64_t)i + 11, action.bytes);
			}
		}
	}
	for (int i = 0; i < 3; i++)
		ld_admit_free(nodes[i]);
}

static void
test_admission(void)
{
	struct ld_mutate_target t = {
	    .name = "admission", .take = take_by_admit};

	record_admission(&t);
	CU_ASSERT_TRUE_FATAL(t.count > 0);
	now_ms = 1000;
	admit = new_admit(12);
	ld_mutate_run(&t, SEED, ROUNDS);
	ld_admit_free(admit);
}

/* ---- Health reports ---- */

static bool
take_health_report(struct ld_str input)
{
	struct ld_health_report r, again;
	struct ld_buf bytes = {0};
	enum ld_status st = ld_health_report_decode(input, &r);

	CU_ASSERT_TRUE(st == LD_OK || st == LD_E_PROTOCOL);
	if (st != LD_OK)
		return false;
	ld_health_report_encode(&r, &bytes);
	CU_ASSERT_EQUAL(
	    ld_health_report_decode(ld_buf_str(&bytes), &again), LD_OK);
	CU_ASSERT_STRING_EQUAL(again.address, r.address);
	CU_ASSERT_EQUAL(again.epoch, r.epoch);
	ld_buf_free(&bytes);
	return true;
}

static void
test_health_reports(void)
{
	struct ld_mutate_target t = {
	    .name = "health reports", .take = take_health_report};
	struct ld_health_report r = {
	    .reporter = "127.0.0.2:8182",
	    .address = "127.0.0.1:9101",
	    .replica = "f1-r1",
	    .incarnation = "0123456789abcdef",
	    .epoch = 7,
	    .run = 9,
	    .seq = 3,
	    .sent_ms = 123456,
	    .ready = true,
	    .slots = 16,
	};
	struct ld_buf bytes = {0};

	ld_health_report_encode(&r, &bytes);
	ld_mutate_input(&t, ld_buf_str(&bytes));
	ld_mutate_run(&t, SEED, ROUNDS);
	ld_buf_free(&bytes);
}

int
main(void)
{
	static const struct ld_test_case cases[] = {
	    {"frames", test_frames},
	    {"messages", test_messages},
	    {"messages into the peers module", test_peers_module},
	    {"health reports", test_health_reports},
	    {"messages of admission", test_admission},
	    {NULL, NULL},
	};

	if (ld_common_init() != LD_OK)
		return 2;
	return ld_test_main("mutated messages", cases);
}
