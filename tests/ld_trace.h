/* Counts the work of the libraries that the Makefile lists as TRACED: a cost
 * that doesn't depend on the machine or its load. */
#ifndef LD_TRACE_H
#define LD_TRACE_H

#include <stdint.h>

/** ld_trace_blocks - basic blocks that were executed; only with SAN=1 */
extern uint64_t ld_trace_blocks;

#endif
