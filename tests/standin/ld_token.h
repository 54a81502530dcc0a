/* The tokens that an engine stand-in generates, so that tests can check them. */
#ifndef LD_TOKEN_H
#define LD_TOKEN_H

#include <stdio.h>

#include "ld_common.h"

#define LD_TOKEN_MAX 32

/**
 * ld_token() - token @i of the answer to @prompt, the same on every engine
 * @out: receives " tokI.HHHH", NUL-terminated
 *
 * Return: its length in bytes.
 */
static inline size_t
ld_token(uint64_t prompt_hash, uint64_t i, char out[LD_TOKEN_MAX])
{
	uint64_t h = prompt_hash ^ (i * 0x9e3779b97f4a7c15ULL);

	h = ld_hash64((struct ld_str){(const char *)&h, sizeof(h)}, i);
	return (size_t)snprintf(out, LD_TOKEN_MAX, " tok%llu.%04x",
	    (unsigned long long)i, (unsigned int)(h & 0xffff));
}

/** ld_prompt_hash() - hash of a prompt or of its messages joined by "\n" */
static inline uint64_t
ld_prompt_hash(struct ld_str prompt)
{
	return ld_hash64(prompt, 0);
}

#endif
