/* Length-counted strings, buffers and checked allocation. */
#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ld_common.h"

#define BUF_MIN_BYTES 64

static void
out_of_memory(size_t n)
{
	ld_log(LD_LOG_ERR, "common", "allocation of %zu bytes failed", n);
	abort();
}

void *
ld_alloc(size_t n)
{
	void *p = calloc(1, n > 0 ? n : 1);

	if (p == NULL)
		out_of_memory(n);
	return p;
}

void *
ld_realloc(void *p, size_t n)
{
	void *q = realloc(p, n > 0 ? n : 1);

	if (q == NULL)
		out_of_memory(n);
	return q;
}

char *
ld_strdup(const char *s)
{
	return ld_str_dup(ld_str_c(s));
}

char *
ld_str_dup(struct ld_str s)
{
	char *p = ld_alloc(s.len + 1);

	if (s.len > 0)
		memcpy(p, s.p, s.len);
	return p;
}

struct ld_str
ld_str_c(const char *s)
{
	struct ld_str v = {s, s != NULL ? strlen(s) : 0};

	return v;
}

bool
ld_str_eq(struct ld_str a, struct ld_str b)
{
	if (a.len != b.len)
		return false;
	return a.len == 0 || memcmp(a.p, b.p, a.len) == 0;
}

bool
ld_str_starts(struct ld_str s, struct ld_str prefix)
{
	if (s.len < prefix.len)
		return false;
	return prefix.len == 0 || memcmp(s.p, prefix.p, prefix.len) == 0;
}

void
ld_buf_reserve(struct ld_buf *b, size_t n)
{
	size_t cap = b->cap > 0 ? b->cap : BUF_MIN_BYTES;

	if (b->cap - b->len >= n && b->p != NULL)
		return;
	while (cap - b->len < n)
		cap *= 2;
	b->p = ld_realloc(b->p, cap);
	b->cap = cap;
}

void
ld_buf_add(struct ld_buf *b, const void *p, size_t n)
{
	ld_buf_reserve(b, n);
	if (n > 0)
		memcpy(b->p + b->len, p, n);
	b->len += n;
}

void
ld_buf_adds(struct ld_buf *b, struct ld_str s)
{
	ld_buf_add(b, s.p, s.len);
}

void
ld_buf_printf(struct ld_buf *b, const char *fmt, ...)
{
	va_list ap, ap_copy;
	int n;

	va_start(ap, fmt);
	va_copy(ap_copy, ap);
	n = vsnprintf(NULL, 0, fmt, ap);
	va_end(ap);
	assert(n >= 0);
	ld_buf_reserve(b, (size_t)n + 1);
	vsnprintf(b->p + b->len, (size_t)n + 1, fmt, ap_copy);
	va_end(ap_copy);
	b->len += (size_t)n;
}

void
ld_buf_consume(struct ld_buf *b, size_t n)
{
	assert(n <= b->len);
	b->len -= n;
	if (b->len > 0 && n > 0)
		memmove(b->p, b->p + n, b->len);
}

const char *
ld_buf_cstr(struct ld_buf *b)
{
	ld_buf_reserve(b, 1);
	b->p[b->len] = '\0';
	return b->p;
}

struct ld_str
ld_buf_str(const struct ld_buf *b)
{
	struct ld_str s = {b->p, b->len};

	return s;
}

void
ld_buf_free(struct ld_buf *b)
{
	free(b->p);
	memset(b, 0, sizeof(*b));
}
