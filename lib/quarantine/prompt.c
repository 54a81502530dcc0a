/* The parts of a prompt as text. */
#include <inttypes.h>
#include <stdio.h>

#include "ld_quarantine.h"

/* Longest text of one part and its separator. */
#define PART_BYTES ((size_t)18)

const char *
ld_prompt_text(const struct ld_prompt *p, char out[LD_PROMPT_TEXT_BYTES])
{
	size_t n = 0;

	if (p->own == 0) {
		snprintf(out, LD_PROMPT_TEXT_BYTES, "-");
		return out;
	}
	for (size_t i = 0;
	     i < p->part_count && n + 2 * PART_BYTES < LD_PROMPT_TEXT_BYTES;
	     i++)
		n += (size_t)snprintf(out + n, LD_PROMPT_TEXT_BYTES - n,
		    "%s%" PRIx64, i > 0 ? "," : "", p->parts[i]);
	snprintf(out + n, LD_PROMPT_TEXT_BYTES - n, "/%" PRIx64, p->own);
	return out;
}
