/*
 * Attribution of server crashes to parts of prompts. Source: lib/quarantine.
 */
#ifndef LD_QUARANTINE_H
#define LD_QUARANTINE_H

#include "ld_common.h"

/** Shared parts of a prompt that are considered; further ones are ignored. */
#define LD_PROMPT_PARTS_MAX 32
/** Bytes for the text of ld_prompt_text() */
#define LD_PROMPT_TEXT_BYTES 160

/**
 * struct ld_prompt - the parts that a prompt consists of, by their hashes
 * @parts: those that other requests may share, in their order
 * @own: the last part, which belongs to the request or its session alone; 0 if
 *	the prompt is unknown
 */
struct ld_prompt {
	uint64_t parts[LD_PROMPT_PARTS_MAX];
	size_t part_count;
	uint64_t own;
};

/**
 * ld_prompt_text() - the prompt as one value of a log line
 *
 * Return: @out: the shared parts, separated by commas, and the own one after a
 * slash; "-" if the prompt is unknown.
 */
const char *ld_prompt_text(
    const struct ld_prompt *p, char out[LD_PROMPT_TEXT_BYTES]);

#endif
