/* Parts of prompts in tests: in a pool that is used again from its start. */
#ifndef PROMPT_PARTS_H
#define PROMPT_PARTS_H

#include <stdarg.h>

#include "ld_common.h"

#define PROMPT_PARTS_POOL ((size_t)1 << 20)

/** prompt_parts() - room for @n parts, the first ones @count further arguments */
static inline uint64_t *
prompt_parts(size_t n, size_t count, ...)
{
	static uint64_t pool[PROMPT_PARTS_POOL];
	static size_t used;
	uint64_t *parts;
	va_list args;

	if (used + n > PROMPT_PARTS_POOL)
		used = 0;
	parts = &pool[used];
	used += n;
	va_start(args, count);
	for (size_t i = 0; i < count; i++)
		parts[i] = va_arg(args, uint64_t);
	va_end(args);
	return parts;
}

#endif
