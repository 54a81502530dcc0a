/* Bytes that are appended at the end and consumed at the front. */
#include <assert.h>
#include <string.h>

#include "ld_common.h"

/* The memory of an empty queue is freed if it is larger than this. */
#define FIFO_KEEP_BYTES 65536

struct ld_str
ld_fifo_str(const struct ld_fifo *f)
{
	struct ld_str s = {
	    f->buf.p != NULL ? f->buf.p + f->start : NULL, ld_fifo_len(f)};

	return s;
}

size_t
ld_fifo_len(const struct ld_fifo *f)
{
	return f->buf.len - f->start;
}

/* The unconsumed bytes are moved only when at least as many have been consumed
 * since the last move. */
struct ld_buf *
ld_fifo_tail(struct ld_fifo *f)
{
	if (f->start > 0 && f->start >= ld_fifo_len(f)) {
		ld_buf_consume(&f->buf, f->start);
		f->start = 0;
	}
	return &f->buf;
}

void
ld_fifo_consume(struct ld_fifo *f, size_t n)
{
	assert(n <= ld_fifo_len(f));
	f->start += n;
}

void
ld_fifo_reset(struct ld_fifo *f)
{
	f->buf.len = 0;
	f->start = 0;
	if (f->buf.cap > FIFO_KEEP_BYTES)
		ld_buf_free(&f->buf);
}

void
ld_fifo_free(struct ld_fifo *f)
{
	ld_buf_free(&f->buf);
	f->start = 0;
}
