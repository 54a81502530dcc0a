/* The fingerprints of a request; the parts of a prompt as text. */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ld_quarantine.h"

/* Longest text of one part and its separator. */
#define PART_BYTES ((size_t)18)
/* The number of parts that are left out, the own part, and their separators. */
#define LAST_BYTES (3 * PART_BYTES)

void
ld_prompt_fini(struct ld_prompt *p)
{
	free(p->parts);
	p->parts = NULL;
	p->part_count = 0;
}

struct ld_prompt
ld_prompt_copy(const struct ld_prompt *p)
{
	struct ld_prompt copy = *p;
	size_t bytes = p->part_count * sizeof(*p->parts);

	copy.parts = NULL;
	if (bytes > 0) {
		copy.parts = ld_alloc(bytes);
		memcpy(copy.parts, p->parts, bytes);
	}
	return copy;
}

void
ld_prompt_set_request(struct ld_prompt *p, const struct ld_request_identity *id)
{
	const struct ld_str fields[] = {
	    id->caller, id->method, id->host, id->target, id->body};
	uint64_t hash = 0;

	/* Each hash is the seed of the next: the fields can't run together. */
	for (size_t i = 0; i < sizeof(fields) / sizeof(fields[0]); i++)
		hash = ld_hash64(fields[i], hash);
	p->request = hash != 0 ? hash : 1;
	if (p->own == 0)
		return;
	hash = ld_hash64((struct ld_str){(const char *)p->parts,
			     p->part_count * sizeof(p->parts[0])},
	    hash ^ p->own);
	p->exact = hash != 0 ? hash : 1;
}

const char *
ld_prompt_text(const struct ld_prompt *p, char out[LD_PROMPT_TEXT_BYTES])
{
	size_t n = 0, i;

	if (p->own == 0) {
		snprintf(out, LD_PROMPT_TEXT_BYTES, "-");
		return out;
	}
	for (i = 0; i < p->part_count && n + LAST_BYTES < LD_PROMPT_TEXT_BYTES;
	     i++)
		n += (size_t)snprintf(out + n, LD_PROMPT_TEXT_BYTES - n,
		    "%s%" PRIx64, i > 0 ? "," : "", p->parts[i]);
	if (i < p->part_count)
		n += (size_t)snprintf(out + n, LD_PROMPT_TEXT_BYTES - n,
		    ",+%zu", p->part_count - i);
	snprintf(out + n, LD_PROMPT_TEXT_BYTES - n, "/%" PRIx64, p->own);
	return out;
}
