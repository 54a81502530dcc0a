/* Seeded mutation of inputs, for tests of parsers. */
#ifndef LD_MUTATE_H
#define LD_MUTATE_H

#include <stdlib.h>
#include <string.h>

#include "ld_common.h"
#include "ld_test.h"

#define LD_MUTATE_SEEDS_MAX 16
#define LD_MUTATE_STEPS_MAX 6

/**
 * struct ld_mutate_target - one parser
 * @inputs: @count valid inputs from which mutants are derived
 * @take: passes one input to the parser and checks its invariants;
 *	returns whether the input was accepted
 */
struct ld_mutate_target {
	const char *name;
	struct ld_buf inputs[LD_MUTATE_SEEDS_MAX];
	size_t count;
	bool (*take)(struct ld_str input);
};

static inline void
ld_mutate_insert(struct ld_buf *b, size_t at, const char *p, size_t n)
{
	ld_buf_reserve(b, n);
	memmove(b->p + at + n, b->p + at, b->len - at);
	memcpy(b->p + at, p, n);
	b->len += n;
}

/* Boundary values of lengths, numbers and syntax. */
static inline struct ld_str
ld_mutate_token(struct ld_rand *r)
{
	static const struct ld_str tokens[] = {
	    {"\0", 1},
	    {"\xff\xff\xff\xff", 4},
	    {"\x7f\xff\xff\xff", 4},
	    {"\xdd\xff\xff\xff\xff", 5},
	    {"\xc1", 1},
	    {"18446744073709551616", 20},
	    {"-9223372036854775809", 20},
	    {"1e400", 5},
	    {"\"", 1},
	    {"\\u0000", 6},
	    {"\\ud800", 6},
	    {"[[[[[[[[", 8},
	    {"{\"a\":", 5},
	    {"null", 4},
	    {",", 1},
	    {"}", 1},
	    {"\n\n", 2},
	    {"\r\n", 2},
	    {"data: [DONE]\n\n", 14},
	    {"\xc3\x28", 2},
	};

	return tokens[ld_rand_below(r, sizeof(tokens) / sizeof(tokens[0]))];
}

/* Applies one mutation to @b; some mutations splice in part of @other. */
static inline void
ld_mutate_step(struct ld_rand *r, struct ld_buf *b, struct ld_str other)
{
	size_t at = b->len > 0 ? ld_rand_below(r, b->len) : 0;
	size_t n = b->len > at ? ld_rand_below(r, b->len - at) : 0;
	struct ld_str token = ld_mutate_token(r);

	switch (ld_rand_below(r, 8)) {
	case 0:
		if (b->len > 0)
			b->p[at] ^= (char)(1 << ld_rand_below(r, 8));
		break;
	case 1:
		if (b->len > 0)
			b->p[at] = (char)ld_rand_below(r, 256);
		break;
	case 2:
		ld_mutate_insert(b, at, token.p, token.len);
		break;
	case 3: /* delete a range, mostly a short one */
		n = n > 16 && ld_rand_below(r, 4) != 0 ? n % 16 : n;
		memmove(b->p + at, b->p + at + n, b->len - at - n);
		b->len -= n;
		break;
	case 4:
		b->len = at;
		break;
	case 5: /* overwrite */
		n = token.len < b->len - at ? token.len : b->len - at;
		if (n > 0)
			memcpy(b->p + at, token.p, n);
		break;
	case 6: { /* duplicate a range */
		char piece[64] = {0};

		n = n < sizeof(piece) ? n : sizeof(piece);
		if (n > 0)
			memcpy(piece, b->p + at, n);
		ld_mutate_insert(b, at, piece, n);
		break;
	}
	default: /* splice in a range of another input */
		if (other.len > 0) {
			n = ld_rand_below(r, other.len);
			ld_mutate_insert(
			    b, at, other.p + n, (other.len - n) % 256);
		}
		break;
	}
}

/**
 * ld_mutate_run() - run a target on @rounds mutants
 *
 * The valid inputs themselves must be accepted. Each mutant is in an
 * allocation of its exact size, so that the sanitizer detects over-reads.
 */
static inline void
ld_mutate_run(struct ld_mutate_target *t, uint64_t seed, size_t rounds)
{
	struct ld_buf b = {0};
	struct ld_rand r;
	size_t accepted = 0;

	ld_rand_seed(&r, seed);
	for (size_t i = 0; i < t->count; i++)
		CU_ASSERT_TRUE(t->take(ld_buf_str(&t->inputs[i])));
	for (size_t i = 0; i < rounds; i++) {
		struct ld_buf *from = &t->inputs[ld_rand_below(&r, t->count)];
		struct ld_buf *other = &t->inputs[ld_rand_below(&r, t->count)];
		size_t steps = 1 +
		    ld_rand_below(
			&r, 1 + ld_rand_below(&r, LD_MUTATE_STEPS_MAX));
		char *exact;

		b.len = 0;
		ld_buf_adds(&b, ld_buf_str(from));
		while (steps-- > 0)
			ld_mutate_step(&r, &b, ld_buf_str(other));
		exact = malloc(b.len > 0 ? b.len : 1);
		if (b.len > 0)
			memcpy(exact, b.p, b.len);
		accepted += t->take((struct ld_str){exact, b.len});
		free(exact);
	}
	printf("%s: seed %llu, %zu mutants, %zu accepted\n", t->name,
	    (unsigned long long)seed, rounds, accepted);
	ld_buf_free(&b);
	for (size_t i = 0; i < t->count; i++)
		ld_buf_free(&t->inputs[i]);
	t->count = 0;
}

static inline struct ld_buf *
ld_mutate_input(struct ld_mutate_target *t, struct ld_str input)
{
	struct ld_buf *b = &t->inputs[t->count++];

	memset(b, 0, sizeof(*b));
	ld_buf_adds(b, input);
	return b;
}

#endif
