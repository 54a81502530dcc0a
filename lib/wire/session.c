/* Sessions: hello, key derivation, sealing and opening frames. */
#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "ld_wire.h"

/*
 * A frame is: length (4 bytes, big-endian, of the rest of the frame), hash,
 * sequence number (8 bytes, big-endian), payload. A hello is: length, hash,
 * protocol magic, role, nonce.
 */
#define LENGTH_BYTES 4
#define SEQ_BYTES 8
#define BODY_MIN_BYTES (LD_WIRE_MAC_BYTES + SEQ_BYTES)
#define MAGIC_BYTES 8
#define HELLO_BYTES (MAGIC_BYTES + 1 + LD_WIRE_NONCE_BYTES)
#define HELLO_BODY_BYTES (LD_WIRE_MAC_BYTES + HELLO_BYTES)

_Static_assert(LD_WIRE_OVERHEAD_BYTES == LENGTH_BYTES + BODY_MIN_BYTES,
    "public overhead matches the frame layout");
_Static_assert(LD_WIRE_MAC_BYTES <= LD_MAC_BYTES, "the hash is truncated");

static const unsigned char magic[MAGIC_BYTES] = {
    'l', 'd', 'p', 'e', 'e', 'r', 's', '1'};

struct ld_wire_session {
	enum ld_wire_role role;
	unsigned char shared[LD_WIRE_KEY_MAX_BYTES];
	size_t shared_len;
	unsigned char nonce[LD_WIRE_NONCE_BYTES];
	unsigned char key[LD_MAC_BYTES]; /* session key, set when ready */
	uint64_t next_seq_out;
	uint64_t next_seq_in;
	struct ld_buf scratch; /* hash input, reused to avoid allocations */
	bool ready;
};

static void
put_u32(unsigned char *p, uint32_t v)
{
	p[0] = (unsigned char)(v >> 24);
	p[1] = (unsigned char)(v >> 16);
	p[2] = (unsigned char)(v >> 8);
	p[3] = (unsigned char)v;
}

static uint32_t
get_u32(const char *p)
{
	const unsigned char *u = (const unsigned char *)p;

	return (uint32_t)u[0] << 24 | (uint32_t)u[1] << 16 |
	    (uint32_t)u[2] << 8 | u[3];
}

static void
put_u64(unsigned char *p, uint64_t v)
{
	put_u32(p, (uint32_t)(v >> 32));
	put_u32(p + 4, (uint32_t)v);
}

static uint64_t
get_u64(const char *p)
{
	return (uint64_t)get_u32(p) << 32 | get_u32(p + 4);
}

static struct ld_str
shared_key(const struct ld_wire_session *s)
{
	return (struct ld_str){(const char *)s->shared, s->shared_len};
}

static enum ld_wire_role
other_role(enum ld_wire_role role)
{
	return role == LD_WIRE_DIALER ? LD_WIRE_ACCEPTOR : LD_WIRE_DIALER;
}

struct ld_wire_session *
ld_wire_session_new(
    enum ld_wire_role role, struct ld_str key, struct ld_rand *r)
{
	struct ld_wire_session *s = ld_alloc(sizeof(*s));

	assert(key.len >= LD_WIRE_KEY_MIN_BYTES);
	assert(key.len <= LD_WIRE_KEY_MAX_BYTES);
	s->role = role;
	memcpy(s->shared, key.p, key.len);
	s->shared_len = key.len;
	for (size_t i = 0; i < LD_WIRE_NONCE_BYTES; i += sizeof(uint64_t))
		put_u64(s->nonce + i, ld_rand_u64(r));
	return s;
}

void
ld_wire_session_free(struct ld_wire_session *s)
{
	if (s == NULL)
		return;
	ld_buf_free(&s->scratch);
	free(s);
}

bool
ld_wire_ready(const struct ld_wire_session *s)
{
	return s->ready;
}

/* ---- Hello ---- */

void
ld_wire_hello(const struct ld_wire_session *s, struct ld_buf *out)
{
	unsigned char length[LENGTH_BYTES];
	unsigned char hello[HELLO_BYTES];
	unsigned char mac[LD_MAC_BYTES];

	memcpy(hello, magic, MAGIC_BYTES);
	hello[MAGIC_BYTES] = (unsigned char)s->role;
	memcpy(hello + MAGIC_BYTES + 1, s->nonce, LD_WIRE_NONCE_BYTES);
	ld_mac(shared_key(s),
	    (struct ld_str){(const char *)hello, sizeof(hello)}, mac);
	put_u32(length, HELLO_BODY_BYTES);
	ld_buf_add(out, length, sizeof(length));
	ld_buf_add(out, mac, LD_WIRE_MAC_BYTES);
	ld_buf_add(out, hello, sizeof(hello));
}

/* Derives the session key from both nonces, so that frames of another session
 * fail verification. */
static void
derive_key(struct ld_wire_session *s, const unsigned char *peer_nonce)
{
	unsigned char both[MAGIC_BYTES + 2 * LD_WIRE_NONCE_BYTES];
	unsigned char *dialer = both + MAGIC_BYTES;
	unsigned char *acceptor = dialer + LD_WIRE_NONCE_BYTES;
	bool dialing = s->role == LD_WIRE_DIALER;

	memcpy(both, magic, MAGIC_BYTES);
	memcpy(dialer, dialing ? s->nonce : peer_nonce, LD_WIRE_NONCE_BYTES);
	memcpy(acceptor, dialing ? peer_nonce : s->nonce, LD_WIRE_NONCE_BYTES);
	ld_mac(shared_key(s), (struct ld_str){(const char *)both, sizeof(both)},
	    s->key);
}

static enum ld_status
accept_hello(struct ld_wire_session *s, struct ld_str body)
{
	struct ld_str hello;
	unsigned char mac[LD_MAC_BYTES];
	const unsigned char *nonce;

	if (body.len != HELLO_BODY_BYTES)
		return ld_fail(LD_E_PROTOCOL, "first frame is not a hello");
	hello.p = body.p + LD_WIRE_MAC_BYTES;
	hello.len = HELLO_BYTES;
	if (memcmp(hello.p, magic, MAGIC_BYTES) != 0)
		return ld_fail(LD_E_PROTOCOL, "hello of a different protocol");
	ld_mac(shared_key(s), hello, mac);
	if (!ld_equal_ct(mac, body.p, LD_WIRE_MAC_BYTES))
		return ld_fail(LD_E_AUTH, "hello made with a different key");
	nonce = (const unsigned char *)hello.p + MAGIC_BYTES + 1;
	if (memcmp(nonce, s->nonce, LD_WIRE_NONCE_BYTES) == 0 ||
	    hello.p[MAGIC_BYTES] != (char)other_role(s->role))
		return ld_fail(LD_E_AUTH, "hello was reflected");
	derive_key(s, nonce);
	s->ready = true;
	return LD_OK;
}

/* ---- Frames ---- */

/* The hash covers the sender's role, so that a reflected frame is rejected. */
static void
frame_mac(struct ld_wire_session *s, enum ld_wire_role sender, uint64_t seq,
    struct ld_str payload, unsigned char mac[LD_MAC_BYTES])
{
	unsigned char head[1 + SEQ_BYTES];

	head[0] = (unsigned char)sender;
	put_u64(head + 1, seq);
	s->scratch.len = 0;
	ld_buf_add(&s->scratch, head, sizeof(head));
	ld_buf_adds(&s->scratch, payload);
	ld_mac((struct ld_str){(const char *)s->key, sizeof(s->key)},
	    ld_buf_str(&s->scratch), mac);
}

enum ld_status
ld_wire_seal(
    struct ld_wire_session *s, struct ld_str payload, struct ld_buf *out)
{
	unsigned char head[LENGTH_BYTES];
	unsigned char seq[SEQ_BYTES];
	unsigned char mac[LD_MAC_BYTES];

	assert(s->ready);
	if (payload.len > LD_WIRE_PAYLOAD_MAX_BYTES)
		return ld_fail(
		    LD_E_TOO_LARGE, "payload of %zu bytes", payload.len);
	put_u32(head, (uint32_t)(BODY_MIN_BYTES + payload.len));
	put_u64(seq, s->next_seq_out);
	frame_mac(s, s->role, s->next_seq_out, payload, mac);
	s->next_seq_out++;
	ld_buf_reserve(out, LD_WIRE_OVERHEAD_BYTES + payload.len);
	ld_buf_add(out, head, sizeof(head));
	ld_buf_add(out, mac, LD_WIRE_MAC_BYTES);
	ld_buf_add(out, seq, sizeof(seq));
	ld_buf_adds(out, payload);
	return LD_OK;
}

static enum ld_status
accept_frame(
    struct ld_wire_session *s, struct ld_str body, struct ld_buf *payload)
{
	struct ld_str content = {
	    body.p + BODY_MIN_BYTES, body.len - BODY_MIN_BYTES};
	unsigned char mac[LD_MAC_BYTES];
	uint64_t seq = get_u64(body.p + LD_WIRE_MAC_BYTES);

	frame_mac(s, other_role(s->role), seq, content, mac);
	if (!ld_equal_ct(mac, body.p, LD_WIRE_MAC_BYTES))
		return ld_fail(LD_E_AUTH, "frame hash does not match");
	if (seq < s->next_seq_in)
		return ld_fail(LD_E_REPLAY, "frame replayed");
	if (seq > s->next_seq_in)
		return ld_fail(LD_E_PROTOCOL, "gap in frame sequence numbers");
	s->next_seq_in++;
	payload->len = 0;
	ld_buf_adds(payload, content);
	return LD_OK;
}

/* Finds a complete frame at @offset of @in without consuming it. */
static enum ld_status
find_body(const struct ld_fifo *in, size_t offset, struct ld_str *body)
{
	struct ld_str received = ld_fifo_str(in);
	size_t available = received.len - offset;
	uint32_t len;

	if (available < LENGTH_BYTES)
		return LD_E_AGAIN;
	len = get_u32(received.p + offset);
	if (len > BODY_MIN_BYTES + LD_WIRE_PAYLOAD_MAX_BYTES)
		return ld_fail(LD_E_TOO_LARGE, "frame of %u bytes", len);
	if (len < BODY_MIN_BYTES)
		return ld_fail(LD_E_PROTOCOL, "frame of %u bytes", len);
	if (available - LENGTH_BYTES < len)
		return LD_E_AGAIN;
	*body = (struct ld_str){received.p + offset + LENGTH_BYTES, len};
	return LD_OK;
}

enum ld_status
ld_wire_open(
    struct ld_wire_session *s, struct ld_fifo *in, struct ld_buf *payload)
{
	struct ld_str body = {"", 0};
	size_t used = 0;
	enum ld_status st = find_body(in, used, &body);

	if (st == LD_OK && !s->ready) {
		st = accept_hello(s, body);
		if (st != LD_OK)
			return st;
		used += LENGTH_BYTES + body.len;
		st = find_body(in, used, &body);
	}
	if (st == LD_OK) {
		st = accept_frame(s, body, payload);
		used += LENGTH_BYTES + body.len;
	}
	ld_fifo_consume(in, used);
	return st;
}

enum ld_status
ld_wire_end(const struct ld_wire_session *s, const struct ld_fifo *in)
{
	if (ld_fifo_len(in) > 0)
		return ld_fail(LD_E_PROTOCOL, "stream ended inside a frame");
	if (!s->ready)
		return ld_fail(LD_E_PROTOCOL, "stream ended before a hello");
	return LD_OK;
}
