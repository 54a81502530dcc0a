/* Messages between nodes as msgpack arrays of unsigned integers. */
#include <msgpack.h>

#include "admit_internal.h"

#define FIELDS_MAX 24
#define REPORT_FIELDS 17
#define GRANT_FIELDS 15
#define PROMISE_FIELDS 4

/** struct fields - the integers of one message, in order */
struct fields {
	uint64_t v[FIELDS_MAX];
	size_t n;
};

static void
put(struct fields *f, uint64_t v)
{
	f->v[f->n++] = v;
}

static uint64_t
get(struct fields *f)
{
	return f->v[f->n++];
}

static void
put_report(struct fields *f, const struct report *r)
{
	put(f, r->pool);
	put(f, r->ts);
	put(f, r->echo);
	put(f, r->ack);
	put(f, r->nodes);
	put(f, r->loan_ms);
	put(f, r->demand[K_REQUESTS]);
	put(f, r->demand[K_TOKENS]);
	put(f, r->in_use[0]);
	put(f, r->in_use[1]);
	put(f, r->waiting);
	put(f, r->tokens_each);
	for (int k = 0; k < K_COUNT; k++)
		put(f, r->available[k]);
	put(f,
	    (uint64_t)r->return_loan << 2 | (uint64_t)r->need_promised << 1 |
		(uint64_t)r->to_former_home);
}

static void
get_report(struct fields *f, struct report *r)
{
	uint64_t flags;

	r->pool = get(f);
	r->ts = get(f);
	r->echo = get(f);
	r->ack = get(f);
	r->nodes = get(f);
	r->loan_ms = get(f);
	r->demand[K_REQUESTS] = get(f);
	r->demand[K_TOKENS] = get(f);
	r->in_use[0] = get(f);
	r->in_use[1] = get(f);
	r->waiting = get(f);
	r->tokens_each = get(f);
	for (int k = 0; k < K_COUNT; k++)
		r->available[k] = get(f);
	flags = get(f);
	r->return_loan = (flags & 4) != 0;
	r->need_promised = (flags & 2) != 0;
	r->to_former_home = (flags & 1) != 0;
}

static void
put_grant(struct fields *f, const struct grant_msg *g)
{
	put(f, g->pool);
	put(f, g->ts);
	put(f, g->echo);
	put(f, g->seq);
	put(f, g->grant_ms);
	put(f, g->rate[0]);
	put(f, g->rate[1]);
	put(f, g->slots[0]);
	put(f, g->slots[1]);
	put(f, g->one_time[0]);
	put(f, g->one_time[1]);
	put(f, g->denied);
	put(f, g->backoff_ms);
	put(f, g->retry_ms);
	put(f,
	    (uint64_t)g->scarce << 2 | (uint64_t)g->preempt << 1 |
		(uint64_t)g->release);
}

static void
get_grant(struct fields *f, struct grant_msg *g)
{
	uint64_t flags;

	g->pool = get(f);
	g->ts = get(f);
	g->echo = get(f);
	g->seq = get(f);
	g->grant_ms = get(f);
	g->rate[0] = get(f);
	g->rate[1] = get(f);
	g->slots[0] = get(f);
	g->slots[1] = get(f);
	g->one_time[0] = get(f);
	g->one_time[1] = get(f);
	g->denied = get(f);
	g->backoff_ms = get(f);
	g->retry_ms = get(f);
	flags = get(f);
	g->scarce = (flags & 4) != 0;
	g->preempt = (flags & 2) != 0;
	g->release = (flags & 1) != 0;
}

static void
put_promise(struct fields *f, const struct promise_msg *p)
{
	put(f, p->pool);
	put(f, p->ts);
	put(f, p->used);
	put(f, p->lifetime_ms);
}

static void
get_promise(struct fields *f, struct promise_msg *p)
{
	p->pool = get(f);
	p->ts = get(f);
	p->used = get(f);
	p->lifetime_ms = get(f);
}

void
ld_admit_encode(const struct message *m, struct ld_buf *out)
{
	struct fields f = {.n = 0};
	msgpack_sbuffer sb;
	msgpack_packer pk;

	put(&f, m->type);
	switch (m->type) {
	case MSG_REPORT:
		put_report(&f, &m->u.report);
		break;
	case MSG_GRANT:
		put_grant(&f, &m->u.grant);
		break;
	case MSG_PROMISE:
		put_promise(&f, &m->u.promise);
		break;
	}
	msgpack_sbuffer_init(&sb);
	msgpack_packer_init(&pk, &sb, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, f.n);
	for (size_t i = 0; i < f.n; i++)
		msgpack_pack_uint64(&pk, f.v[i]);
	ld_buf_add(out, sb.data, sb.size);
	msgpack_sbuffer_destroy(&sb);
}

/*
 * msgpack allocates as many items as an array header claims. Only a short
 * array of unsigned integers, as ld_admit_encode() writes it, is unpacked.
 */
static bool
has_expected_shape(struct ld_str bytes)
{
	static const size_t sizes[] = {1, 2, 4, 8}; /* uint8 to uint64 */
	const unsigned char *p = (const unsigned char *)bytes.p;
	size_t at = 1, n;

	if (bytes.len == 0)
		return false;
	if ((p[0] & 0xf0) == 0x90) {
		n = p[0] & 0x0f;
	} else if (p[0] == 0xdc && bytes.len >= 3 && p[1] == 0) {
		n = p[2];
		at = 3;
	} else {
		return false;
	}
	if (n == 0 || n > FIELDS_MAX)
		return false;
	for (; n > 0 && at < bytes.len; n--) {
		if (p[at] <= 0x7f)
			at++;
		else if (p[at] >= 0xcc && p[at] <= 0xcf)
			at += 1 + sizes[p[at] - 0xcc];
		else
			return false;
	}
	return n == 0 && at == bytes.len;
}

static bool
unpack_fields(struct ld_str bytes, struct fields *f)
{
	msgpack_unpacked u;
	msgpack_object *o;
	size_t off = 0;
	bool ok = false;

	if (!has_expected_shape(bytes))
		return false;
	msgpack_unpacked_init(&u);
	if (msgpack_unpack_next(&u, bytes.p, bytes.len, &off) !=
		MSGPACK_UNPACK_SUCCESS ||
	    off != bytes.len)
		goto out;
	o = &u.data;
	if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size == 0 ||
	    o->via.array.size > FIELDS_MAX)
		goto out;
	f->n = o->via.array.size;
	for (size_t i = 0; i < f->n; i++) {
		if (o->via.array.ptr[i].type != MSGPACK_OBJECT_POSITIVE_INTEGER)
			goto out;
		f->v[i] = o->via.array.ptr[i].via.u64;
	}
	ok = true;
out:
	msgpack_unpacked_destroy(&u);
	return ok;
}

/* Keeps sums of a few hundred values far from overflow. */
#define VALUE_MAX (UINT64_C(1) << 48)

static bool
in_bounds(const struct fields *f)
{
	/* The type and the pool come first; a pool is any 64-bit number. */
	for (size_t i = 2; i < f->n; i++) {
		if (f->v[i] > VALUE_MAX)
			return false;
	}
	return true;
}

enum ld_status
ld_admit_decode(struct ld_str bytes, struct message *m)
{
	struct fields f;
	size_t n;

	if (!unpack_fields(bytes, &f) || !in_bounds(&f))
		return ld_fail(LD_E_PROTOCOL, "admit: malformed message");
	n = f.n;
	f.n = 1;
	if (f.v[0] == MSG_REPORT && n == REPORT_FIELDS + 1) {
		m->type = MSG_REPORT;
		get_report(&f, &m->u.report);
	} else if (f.v[0] == MSG_GRANT && n == GRANT_FIELDS + 1) {
		m->type = MSG_GRANT;
		get_grant(&f, &m->u.grant);
	} else if (f.v[0] == MSG_PROMISE && n == PROMISE_FIELDS + 1) {
		m->type = MSG_PROMISE;
		get_promise(&f, &m->u.promise);
	} else {
		return ld_fail(LD_E_PROTOCOL, "admit: unknown type or length");
	}
	return LD_OK;
}
