/* Seeded random numbers from libsodium's deterministic stream. */
#include <assert.h>
#include <sodium.h>
#include <string.h>

#include "ld_common.h"

_Static_assert(
    LD_RAND_SEED_BYTES == randombytes_SEEDBYTES, "seed size of the stream");

static void
refill(struct ld_rand *r)
{
	unsigned char seed[LD_RAND_SEED_BYTES];

	memcpy(seed, r->seed, sizeof(seed));
	for (size_t i = 0; i < sizeof(r->next_block); i++)
		seed[LD_RAND_SEED_BYTES - 1 - i] ^=
		    (unsigned char)(r->next_block >> (8 * i));
	r->next_block++;
	r->pos = 0;
	randombytes_buf_deterministic(r->block, sizeof(r->block), seed);
}

void
ld_rand_seed(struct ld_rand *r, uint64_t seed)
{
	memset(r, 0, sizeof(*r));
	memcpy(r->seed, &seed, sizeof(seed));
	refill(r);
}

void
ld_rand_seed_os(struct ld_rand *r)
{
	memset(r, 0, sizeof(*r));
	randombytes_buf(r->seed, sizeof(r->seed));
	refill(r);
}

uint64_t
ld_rand_u64(struct ld_rand *r)
{
	uint64_t v;

	if (r->pos + sizeof(v) > sizeof(r->block))
		refill(r);
	memcpy(&v, r->block + r->pos, sizeof(v));
	r->pos += sizeof(v);
	return v;
}

uint64_t
ld_rand_below(struct ld_rand *r, uint64_t n)
{
	assert(n > 0);
	/* Multiply-shift keeps the bias below n / 2^64. */
	return (uint64_t)(((unsigned __int128)ld_rand_u64(r) * n) >> 64);
}

double
ld_rand_unit(struct ld_rand *r)
{
	return (double)(ld_rand_u64(r) >> 11) / 9007199254740992.0;
}
