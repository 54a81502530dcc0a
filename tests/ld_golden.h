/* Comparison of a recorded session with its golden file. */
#ifndef LD_GOLDEN_H
#define LD_GOLDEN_H

#include <stdlib.h>

#include "ld_common.h"
#include "ld_test.h"

/**
 * golden_check() - fail unless the file at @path holds exactly @session
 * @path: from the root of the repository
 *
 * With LD_GOLDEN_WRITE set the file is written instead, to be reviewed.
 */
static inline void
golden_check(const char *path, struct ld_buf *session)
{
	bool write = getenv("LD_GOLDEN_WRITE") != NULL;
	struct ld_buf golden = {0};
	FILE *f = fopen(path, write ? "w" : "r");
	char chunk[4096];
	size_t n;

	if (f == NULL) {
		CU_FAIL("the golden file can't be opened");
		return;
	}
	if (write)
		fwrite(session->p, 1, session->len, f);
	else
		while ((n = fread(chunk, 1, sizeof(chunk), f)) > 0)
			ld_buf_add(&golden, chunk, n);
	fclose(f);
	if (!write && !ld_str_eq(ld_buf_str(&golden), ld_buf_str(session))) {
		printf("session differs from %s:\n%s\n", path,
		    ld_buf_cstr(session));
		CU_FAIL("the session differs from its golden file");
	}
	ld_buf_free(&golden);
}

#endif
