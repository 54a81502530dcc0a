/* Frames, sessions and messages between peers, also with forged input. */
#include <stdlib.h>
#include <string.h>

#include "ld_test.h"
#include "ld_wire.h"

#define KEY LD_STR("0123456789abcdef0123456789abcdef")
#define MUTATIONS 100000
#define SEED 11

struct pair {
	struct ld_rand rand;
	struct ld_wire_session *dialer;
	struct ld_wire_session *acceptor;
	struct ld_fifo to_acceptor;
	struct ld_fifo to_dialer;
	struct ld_buf payload;
};

static void
pair_open(struct pair *p, uint64_t seed)
{
	memset(p, 0, sizeof(*p));
	ld_rand_seed(&p->rand, seed);
	p->dialer = ld_wire_session_new(LD_WIRE_DIALER, KEY, &p->rand);
	p->acceptor = ld_wire_session_new(LD_WIRE_ACCEPTOR, KEY, &p->rand);
	ld_wire_hello(p->dialer, ld_fifo_tail(&p->to_acceptor));
	ld_wire_hello(p->acceptor, ld_fifo_tail(&p->to_dialer));
	CU_ASSERT_EQUAL(
	    ld_wire_open(p->dialer, &p->to_dialer, &p->payload), LD_E_AGAIN);
	CU_ASSERT_EQUAL(ld_wire_open(p->acceptor, &p->to_acceptor, &p->payload),
	    LD_E_AGAIN);
	CU_ASSERT_TRUE(ld_wire_ready(p->dialer));
	CU_ASSERT_TRUE(ld_wire_ready(p->acceptor));
}

static void
pair_close(struct pair *p)
{
	ld_wire_session_free(p->dialer);
	ld_wire_session_free(p->acceptor);
	ld_fifo_free(&p->to_acceptor);
	ld_fifo_free(&p->to_dialer);
	ld_buf_free(&p->payload);
}

static enum ld_status
deliver(struct pair *p, struct ld_str bytes)
{
	ld_buf_adds(ld_fifo_tail(&p->to_acceptor), bytes);
	return ld_wire_open(p->acceptor, &p->to_acceptor, &p->payload);
}

static void
test_split_anywhere(void)
{
	struct pair p;
	struct ld_buf stream = {0};
	struct ld_rand r;

	ld_rand_seed(&r, SEED);
	for (size_t cut = 1; cut < 90; cut++) {
		struct ld_wire_session *d, *a;
		struct ld_fifo in = {0}, hello = {0};
		struct ld_buf payload = {0};
		int got = 0;

		stream.len = 0;
		d = ld_wire_session_new(LD_WIRE_DIALER, KEY, &r);
		a = ld_wire_session_new(LD_WIRE_ACCEPTOR, KEY, &r);
		ld_wire_hello(a, ld_fifo_tail(&hello));
		ld_wire_hello(d, &stream);
		CU_ASSERT_EQUAL(ld_wire_open(d, &hello, &payload), LD_E_AGAIN);
		ld_wire_seal(d, LD_STR("one"), &stream);
		ld_wire_seal(d, LD_STR(""), &stream);
		ld_wire_seal(d, LD_STR("three"), &stream);
		for (size_t at = 0; at < stream.len; at += cut) {
			size_t n =
			    stream.len - at < cut ? stream.len - at : cut;

			ld_buf_add(ld_fifo_tail(&in), stream.p + at, n);
			while (ld_wire_open(a, &in, &payload) == LD_OK)
				got++;
		}
		CU_ASSERT_EQUAL(got, 3);
		CU_ASSERT_TRUE(
		    ld_str_eq(ld_buf_str(&payload), LD_STR("three")));
		CU_ASSERT_EQUAL(ld_wire_end(a, &in), LD_OK);
		ld_fifo_free(&in);
		ld_fifo_free(&hello);
		ld_buf_free(&payload);
		ld_wire_session_free(d);
		ld_wire_session_free(a);
	}
	ld_buf_free(&stream);
	pair_open(&p, SEED);
	pair_close(&p);
}

static void
test_tampered_bit_is_refused(void)
{
	struct ld_buf frame = {0};

	for (size_t bit = 32;; bit++) {
		struct pair p;
		enum ld_status st;

		pair_open(&p, SEED);
		frame.len = 0;
		ld_wire_seal(p.dialer, LD_STR("payload"), &frame);
		if (bit >= 8 * frame.len) {
			pair_close(&p);
			break;
		}
		frame.p[bit / 8] = (char)(frame.p[bit / 8] ^ 1 << bit % 8);
		st = deliver(&p, ld_buf_str(&frame));
		CU_ASSERT_EQUAL(st, LD_E_AUTH);
		pair_close(&p);
	}
	ld_buf_free(&frame);
}

static void
test_replay_and_gap_are_refused(void)
{
	struct pair p;
	struct ld_buf one = {0}, two = {0}, three = {0};

	pair_open(&p, SEED);
	ld_wire_seal(p.dialer, LD_STR("one"), &one);
	ld_wire_seal(p.dialer, LD_STR("two"), &two);
	ld_wire_seal(p.dialer, LD_STR("three"), &three);
	CU_ASSERT_EQUAL(deliver(&p, ld_buf_str(&one)), LD_OK);
	CU_ASSERT_EQUAL(deliver(&p, ld_buf_str(&one)), LD_E_REPLAY);
	CU_ASSERT_EQUAL(deliver(&p, ld_buf_str(&three)), LD_E_PROTOCOL);
	CU_ASSERT_EQUAL(deliver(&p, ld_buf_str(&two)), LD_OK);
	pair_close(&p);
	ld_buf_free(&one);
	ld_buf_free(&two);
	ld_buf_free(&three);
}

static void
test_reflection_and_other_sessions_are_refused(void)
{
	struct pair p, q;
	struct ld_wire_session *s;
	struct ld_fifo frame = {0}, hello = {0};
	struct ld_buf payload = {0};

	pair_open(&p, SEED);
	pair_open(&q, SEED + 1);
	ld_wire_seal(p.dialer, LD_STR("x"), ld_fifo_tail(&frame));
	CU_ASSERT_EQUAL(deliver(&q, ld_fifo_str(&frame)), LD_E_AUTH);
	CU_ASSERT_EQUAL(ld_wire_open(p.dialer, &frame, &payload), LD_E_AUTH);
	s = ld_wire_session_new(LD_WIRE_DIALER, KEY, &p.rand);
	ld_wire_hello(s, ld_fifo_tail(&hello));
	CU_ASSERT_EQUAL(ld_wire_open(s, &hello, &payload), LD_E_AUTH);
	ld_wire_session_free(s);
	pair_close(&p);
	pair_close(&q);
	ld_fifo_free(&frame);
	ld_fifo_free(&hello);
	ld_buf_free(&payload);
}

static void
test_wrong_key_is_refused(void)
{
	struct ld_rand r;
	struct ld_wire_session *a, *b;
	struct ld_fifo hello = {0};
	struct ld_buf payload = {0};

	ld_rand_seed(&r, SEED);
	a = ld_wire_session_new(LD_WIRE_DIALER, KEY, &r);
	b = ld_wire_session_new(
	    LD_WIRE_ACCEPTOR, LD_STR("another key of 16 or more"), &r);
	ld_wire_hello(a, ld_fifo_tail(&hello));
	CU_ASSERT_EQUAL(ld_wire_open(b, &hello, &payload), LD_E_AUTH);
	CU_ASSERT_FALSE(ld_wire_ready(b));
	ld_wire_session_free(a);
	ld_wire_session_free(b);
	ld_fifo_free(&hello);
	ld_buf_free(&payload);
}

static void
test_bounds_and_truncation(void)
{
	struct pair p;
	struct ld_buf frame = {0};
	struct ld_buf big = {0};

	pair_open(&p, SEED);
	ld_buf_reserve(&big, LD_WIRE_PAYLOAD_MAX_BYTES + 1);
	memset(big.p, 'a', LD_WIRE_PAYLOAD_MAX_BYTES + 1);
	big.len = LD_WIRE_PAYLOAD_MAX_BYTES + 1;
	CU_ASSERT_EQUAL(
	    ld_wire_seal(p.dialer, ld_buf_str(&big), &frame), LD_E_TOO_LARGE);
	big.len--;
	CU_ASSERT_EQUAL(
	    ld_wire_seal(p.dialer, ld_buf_str(&big), &frame), LD_OK);
	frame.len--;
	CU_ASSERT_EQUAL(deliver(&p, ld_buf_str(&frame)), LD_E_AGAIN);
	CU_ASSERT_EQUAL(ld_wire_end(p.acceptor, &p.to_acceptor), LD_E_PROTOCOL);
	CU_ASSERT_EQUAL(deliver(&p, LD_STR("b")), LD_E_AUTH);
	pair_close(&p);
	pair_open(&p, SEED);
	CU_ASSERT_EQUAL(
	    deliver(&p, LD_STR("\xff\xff\xff\xff")), LD_E_TOO_LARGE);
	ld_fifo_reset(&p.to_acceptor);
	CU_ASSERT_EQUAL(deliver(&p, LD_STR("\0\0\0\1")), LD_E_PROTOCOL);
	pair_close(&p);
	ld_buf_free(&frame);
	ld_buf_free(&big);
}

/* ---- Messages ---- */

#define SAMPLES 6

static void
sample(int i, struct ld_buf *out)
{
	struct ld_wire_member m = {
	    LD_STR("127.0.0.1:7001"), LD_STR("z1"), LD_STR("r1"), 77, 2, 3, 1};
	struct ld_wire_record r = {
	    77, 9, 3, LD_STR("f1-r1"), LD_STR("{\"running\":3}")};
	struct ld_wire_entry e = {77, 1, UINT64_MAX};
	struct ld_wire_msg msg = {0};

	switch (i) {
	case 0:
		msg.kind = LD_WIRE_JOIN;
		msg.join = (struct ld_wire_join){m, true};
		break;
	case 1:
		msg.kind = LD_WIRE_ACK;
		msg.ping = (struct ld_wire_ping){5, 6, 7, 8, 9, 10, true};
		break;
	case 2:
		msg.kind = LD_WIRE_DIGEST;
		msg.digest.has_buckets = true;
		msg.digest.bucket[31] = 4;
		msg.digest.entries = &e;
		msg.digest.entry_count = 1;
		break;
	case 3:
		msg.kind = LD_WIRE_RECORDS;
		msg.records = (struct ld_wire_records){&m, 1, &r, 1};
		break;
	case 4:
		msg.kind = LD_WIRE_CATALOGUE_SNAPSHOT;
		msg.catalogue.revision = 41;
		msg.catalogue.bytes = LD_STR("{\"entries\":[]}");
		break;
	default:
		msg.kind = LD_WIRE_DIRECT;
		msg.direct = (struct ld_wire_direct){
		    m.address, 77, LD_STR("127.0.0.1:7002"), 0, 12, r.value};
		break;
	}
	out->len = 0;
	ld_wire_encode(&msg, out);
}

static void
test_messages_round_trip(void)
{
	struct ld_buf first = {0}, again = {0};
	struct ld_wire_msg m;

	for (int i = 0; i < SAMPLES; i++) {
		sample(i, &first);
		CU_ASSERT_EQUAL(ld_wire_decode(ld_buf_str(&first), &m), LD_OK);
		again.len = 0;
		ld_wire_encode(&m, &again);
		CU_ASSERT_TRUE(
		    ld_str_eq(ld_buf_str(&first), ld_buf_str(&again)));
		ld_wire_msg_fini(&m);
		first.len--;
		CU_ASSERT_EQUAL(
		    ld_wire_decode(ld_buf_str(&first), &m), LD_E_PROTOCOL);
	}
	ld_buf_free(&first);
	ld_buf_free(&again);
}

static void
mutate(struct ld_rand *r, struct ld_buf *b)
{
	uint64_t times = 1 + ld_rand_below(r, 4);

	for (uint64_t i = 0; i < times && b->len > 0; i++) {
		size_t at = ld_rand_below(r, b->len);

		if (ld_rand_below(r, 8) == 0)
			b->len = at;
		else
			b->p[at] = (char)ld_rand_u64(r);
	}
}

static void
test_mutated_messages_never_break_the_decoder(void)
{
	struct ld_rand r;
	struct ld_buf b = {0};
	struct ld_wire_msg m;
	unsigned int refused = 0;

	printf("seed %d ", SEED);
	ld_rand_seed(&r, SEED);
	for (int i = 0; i < MUTATIONS; i++) {
		struct ld_str exact;
		char *copy;

		sample(i % SAMPLES, &b);
		mutate(&r, &b);
		/* An exact-size copy, so that ASan detects a read past the end. */
		copy = ld_alloc(b.len);
		memcpy(copy, b.p, b.len);
		exact = (struct ld_str){copy, b.len};
		if (ld_wire_decode(exact, &m) == LD_OK)
			ld_wire_msg_fini(&m);
		else
			refused++;
		free(copy);
	}
	CU_ASSERT_TRUE(refused > MUTATIONS / 4);
	ld_buf_free(&b);
}

static void
test_false_claims_are_refused_before_allocation(void)
{
	struct ld_wire_msg m;

	CU_ASSERT_EQUAL(
	    ld_wire_decode(LD_STR("\xdd\xff\xff\xff\xff"), &m), LD_E_PROTOCOL);
	CU_ASSERT_EQUAL(
	    ld_wire_decode(LD_STR("\xdf\xff\xff\xff\xff"), &m), LD_E_PROTOCOL);
	CU_ASSERT_EQUAL(
	    ld_wire_decode(LD_STR("\xc6\xff\xff\xff\xff"), &m), LD_E_PROTOCOL);
}

int
main(void)
{
	static const struct ld_test_case cases[] = {
	    {"a stream may be split anywhere", test_split_anywhere},
	    {"a changed bit is refused", test_tampered_bit_is_refused},
	    {"replay and gaps are refused", test_replay_and_gap_are_refused},
	    {"reflected and foreign frames are refused",
		test_reflection_and_other_sessions_are_refused},
	    {"a wrong key is refused", test_wrong_key_is_refused},
	    {"bounds and truncation", test_bounds_and_truncation},
	    {"messages round-trip", test_messages_round_trip},
	    {"mutated messages", test_mutated_messages_never_break_the_decoder},
	    {"false claims of size",
		test_false_claims_are_refused_before_allocation},
	    {NULL, NULL},
	};

	if (ld_common_init() != LD_OK)
		return 2;
	return ld_test_main("wire", cases);
}
