/* Private to lib/wire. */
#ifndef LD_WIRE_INTERNAL_H
#define LD_WIRE_INTERNAL_H

#include "ld_wire.h"

/**
 * ld_wire_scan() - check msgpack before it is unpacked
 *
 * The unpacker allocates what array and map headers claim before it has seen
 * the elements. Every element takes at least one byte, so the claims of a
 * well-formed document add up to at most its length.
 *
 * Return: true when no header claims more than the document can hold.
 */
bool ld_wire_scan(struct ld_str doc);

#endif
