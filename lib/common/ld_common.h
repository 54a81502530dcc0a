/*
 * Base of all libraries: status codes, strings, buffers, logging, random
 * numbers and hashing. Source: lib/common.
 */
#ifndef LD_COMMON_H
#define LD_COMMON_H

#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* ---- Status ---- */

/** enum ld_status - outcome of a call; one value per kind of failure */
enum ld_status {
	LD_OK = 0,
	LD_E_INVALID, /* malformed or out-of-range input */
	LD_E_TOO_LARGE, /* input exceeds a documented bound */
	LD_E_NOT_FOUND, /* no such item */
	LD_E_CONFLICT, /* compare-and-swap failed, or a duplicate */
	LD_E_TIMEOUT, /* no response before the deadline */
	LD_E_UNAVAILABLE, /* the remote end can't serve now */
	LD_E_STALE, /* older than data already received */
	LD_E_AUTH, /* wrong or missing key */
	LD_E_REPLAY, /* frame was already received */
	LD_E_IO, /* system call failed */
	LD_E_CLOSED, /* the remote end closed */
	LD_E_LIMIT, /* a limit or budget is exhausted */
	LD_E_AGAIN, /* not enough input yet */
	LD_E_PROTOCOL, /* the remote end violated the protocol */
	LD_E_UNKNOWN, /* the outcome can't be determined */
	LD_STATUS_COUNT
};

/**
 * ld_fail() - record the message of a failure and return its status
 * @st: a failure, not LD_OK
 * @fmt: printf format of a short sentence without a newline
 *
 * Return: @st.
 */
enum ld_status ld_fail(enum ld_status st, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

/** ld_last_message() - message of the last ld_fail() in this process */
const char *ld_last_message(void);

/** ld_status_name() - stable lower-case name of a status, never NULL */
const char *ld_status_name(enum ld_status st);

/* ---- Length-counted strings ---- */

/** struct ld_str - view of bytes owned elsewhere; not NUL-terminated */
struct ld_str {
	const char *p;
	size_t len;
};

#define LD_STR(lit) ((struct ld_str){(lit), sizeof(lit) - 1})
/* For printf("%.*s", LD_FMT(s)). */
#define LD_FMT(s) (int)(s).len, (s).p

/** ld_str_c() - view of a C string; NULL gives the empty view */
struct ld_str ld_str_c(const char *s);
bool ld_str_eq(struct ld_str a, struct ld_str b);
bool ld_str_starts(struct ld_str s, struct ld_str prefix);

/* ---- Buffers ---- */

/** struct ld_buf - growable bytes; zero-initialise before use */
struct ld_buf {
	char *p;
	size_t len;
	size_t cap;
};

/** ld_buf_reserve() - make room for @n more bytes after len */
void ld_buf_reserve(struct ld_buf *b, size_t n);
void ld_buf_add(struct ld_buf *b, const void *p, size_t n);
void ld_buf_adds(struct ld_buf *b, struct ld_str s);
void ld_buf_printf(struct ld_buf *b, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));
/** ld_buf_consume() - drop the first @n bytes; @n <= len */
void ld_buf_consume(struct ld_buf *b, size_t n);
/** ld_buf_cstr() - the content as a C string, valid until the next change */
const char *ld_buf_cstr(struct ld_buf *b);
struct ld_str ld_buf_str(const struct ld_buf *b);
void ld_buf_free(struct ld_buf *b);

/**
 * struct ld_fifo - bytes appended at the end and consumed at the front;
 * zero-initialise before use
 *
 * The work is linear in the bytes that pass through, and the memory in the bytes
 * that wait, however they are split.
 */
struct ld_fifo {
	struct ld_buf buf;
	size_t start; /* leading bytes of buf that were consumed */
};

/** ld_fifo_str() - the bytes that wait, valid until the next ld_fifo_tail() */
struct ld_str ld_fifo_str(const struct ld_fifo *f);
size_t ld_fifo_len(const struct ld_fifo *f);
/** ld_fifo_tail() - the buffer to append to; call it before each append */
struct ld_buf *ld_fifo_tail(struct ld_fifo *f);
/** ld_fifo_consume() - drop the first @n bytes; moves nothing */
void ld_fifo_consume(struct ld_fifo *f, size_t n);
/** ld_fifo_reset() - drop all bytes */
void ld_fifo_reset(struct ld_fifo *f);
void ld_fifo_free(struct ld_fifo *f);

/* ---- Memory: a failed allocation ends the process with a log line ---- */

void *ld_alloc(size_t n); /* zeroed */
void *ld_realloc(void *p, size_t n);
char *ld_strdup(const char *s);
char *ld_str_dup(struct ld_str s); /* NUL-terminated copy */

/* ---- Log: syslog-style lines on standard error ---- */

enum ld_log_level {
	LD_LOG_ERR = 3,
	LD_LOG_WARNING = 4,
	LD_LOG_NOTICE = 5,
	LD_LOG_INFO = 6,
	LD_LOG_DEBUG = 7
};

/** ld_log_init() - set the program name and the highest level written */
void ld_log_init(const char *ident, enum ld_log_level max);

/**
 * ld_log() - write one line "<level>ident[pid]: component: sentence"
 * @component: name of the component that logs, a string literal
 *
 * Each format string is written at most LD_LOG_BURST times per
 * LD_LOG_WINDOW_MS. Its first line of a later window states how many lines were
 * suppressed.
 */
void ld_log(enum ld_log_level level, const char *component, const char *fmt,
    ...) __attribute__((format(printf, 3, 4)));

#define LD_LOG_BURST 20
#define LD_LOG_WINDOW_MS 1000

/* ---- Structured log: key=value lines on standard output ---- */

/**
 * ld_event() - buffer one line "t=UNIX_MS event=NAME key=value ..."
 * @name: name of the event, see docs/LOGS.md
 *
 * Never blocks: when the buffer is full, the line is dropped and counted in a
 * later "log.dropped" line.
 */
void ld_event(const char *name, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));
/** ld_event_dropped() - lines dropped since the process started */
unsigned long ld_event_dropped(void);
/** ld_event_flush() - write buffered lines; call once per loop iteration */
void ld_event_flush(void);

#define LD_EVENT_TOKEN_BYTES 72
/**
 * ld_event_token() - untrusted input as one value of an event line
 *
 * Truncates @s to fit @out and replaces blanks, quotes, '=' and bytes that are
 * not printable ASCII by '?'. An empty string becomes "-".
 */
const char *ld_event_token(struct ld_str s, char out[LD_EVENT_TOKEN_BYTES]);

/* ---- Random numbers: seeded and repeatable (libsodium stream) ---- */

#define LD_RAND_SEED_BYTES 32
#define LD_RAND_BLOCK_BYTES 512

/** struct ld_rand - generator state; not for keys */
struct ld_rand {
	unsigned char seed[LD_RAND_SEED_BYTES];
	unsigned char block[LD_RAND_BLOCK_BYTES];
	uint64_t next_block;
	size_t pos;
};

void ld_rand_seed(struct ld_rand *r, uint64_t seed);
/** ld_rand_seed_os() - seed from the operating system */
void ld_rand_seed_os(struct ld_rand *r);
uint64_t ld_rand_u64(struct ld_rand *r);
/** ld_rand_below() - uniform in [0, @n); @n > 0 */
uint64_t ld_rand_below(struct ld_rand *r, uint64_t n);
/** ld_rand_unit() - uniform in [0, 1) */
double ld_rand_unit(struct ld_rand *r);

/* ---- Hashing ---- */

/** ld_hash64() - XXH3, for tables and rendezvous hashing, not for secrets */
uint64_t ld_hash64(struct ld_str s, uint64_t seed);

#define LD_SHA256_HEX_LEN 64
/** ld_sha256_hex() - lower-case hex of SHA-256, NUL-terminated */
void ld_sha256_hex(struct ld_str s, char out[LD_SHA256_HEX_LEN + 1]);

#define LD_MAC_BYTES 32
/** ld_mac() - keyed BLAKE2b of @msg under @key (1..64 bytes) */
void ld_mac(
    struct ld_str key, struct ld_str msg, unsigned char out[LD_MAC_BYTES]);
/** ld_equal_ct() - compare @n bytes in constant time */
bool ld_equal_ct(const void *a, const void *b, size_t n);

/** ld_common_init() - call once before any hashing function */
enum ld_status ld_common_init(void);

#endif
