/* See ld_trace.h. */
#include "ld_trace.h"

uint64_t ld_trace_blocks;

void __sanitizer_cov_trace_pc(void);

/* Called by the compiler's instrumentation at each basic block. */
void
__sanitizer_cov_trace_pc(void)
{
	ld_trace_blocks++;
}
