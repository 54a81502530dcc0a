/* Bounds how much memory the unpacker allocates for a msgpack document. */
#include "ld_wire.h"

/**
 * struct header - layout of an element, derived from its first byte
 *
 * The first byte is followed by a big-endian length field, which counts either
 * content bytes or nested elements, and by the content.
 */
struct header {
	size_t length_bytes; /* size of the length field */
	size_t content_bytes; /* fixed part, after the length field */
	uint64_t elements; /* nested elements, fixed part */
	unsigned int per_count; /* nested elements per unit of the length */
	bool counts_bytes; /* the length counts content bytes */
};

/* Headers of first bytes 0xc0 to 0xdf, indexed by the low five bits. */
static const struct header headers[32] = {
    [0x04] = {1, 0, 0, 0, true}, /* bin 8, 16, 32 */
    [0x05] = {2, 0, 0, 0, true},
    [0x06] = {4, 0, 0, 0, true},
    [0x07] = {1, 1, 0, 0, true}, /* ext 8, 16, 32 */
    [0x08] = {2, 1, 0, 0, true},
    [0x09] = {4, 1, 0, 0, true},
    [0x0a] = {0, 4, 0, 0, false}, /* float 32, 64 */
    [0x0b] = {0, 8, 0, 0, false},
    [0x0c] = {0, 1, 0, 0, false}, /* uint 8 to 64 */
    [0x0d] = {0, 2, 0, 0, false},
    [0x0e] = {0, 4, 0, 0, false},
    [0x0f] = {0, 8, 0, 0, false},
    [0x10] = {0, 1, 0, 0, false}, /* int 8 to 64 */
    [0x11] = {0, 2, 0, 0, false},
    [0x12] = {0, 4, 0, 0, false},
    [0x13] = {0, 8, 0, 0, false},
    [0x14] = {0, 2, 0, 0, false}, /* fixext 1 to 16 */
    [0x15] = {0, 3, 0, 0, false},
    [0x16] = {0, 5, 0, 0, false},
    [0x17] = {0, 9, 0, 0, false},
    [0x18] = {0, 17, 0, 0, false},
    [0x19] = {1, 0, 0, 0, true}, /* str 8, 16, 32 */
    [0x1a] = {2, 0, 0, 0, true},
    [0x1b] = {4, 0, 0, 0, true},
    [0x1c] = {2, 0, 0, 1, false}, /* array 16, 32 */
    [0x1d] = {4, 0, 0, 1, false},
    [0x1e] = {2, 0, 0, 2, false}, /* map 16, 32 */
    [0x1f] = {4, 0, 0, 2, false},
};

static struct header
header_of(unsigned char first)
{
	if (first >= 0xc0 && first <= 0xdf)
		return headers[first - 0xc0];
	if (first >= 0x80 && first <= 0x8f)
		return (struct header){.elements = (first & 0x0fu) << 1};
	if (first >= 0x90 && first <= 0x9f)
		return (struct header){.elements = first & 0x0fu};
	if (first >= 0xa0 && first <= 0xbf)
		return (struct header){.content_bytes = first & 0x1fu};
	return (struct header){0};
}

bool
ld_wire_scan(struct ld_str doc)
{
	const unsigned char *p = (const unsigned char *)doc.p;
	size_t offset = 0;
	uint64_t claimed = 0;

	while (offset < doc.len) {
		struct header h = header_of(p[offset]);
		uint64_t length = 0;

		offset++;
		if (h.length_bytes > doc.len - offset)
			return false;
		for (size_t i = 0; i < h.length_bytes; i++)
			length = length << 8 | p[offset + i];
		offset += h.length_bytes;
		claimed += h.elements + length * h.per_count;
		if (h.counts_bytes)
			h.content_bytes += length;
		if (h.content_bytes > doc.len - offset || claimed > doc.len)
			return false;
		offset += h.content_bytes;
	}
	return true;
}
