/* List of the faults found in a document. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ld_catalogue.h"

#define FOUND_MAX_BYTES 80
#define ALLOWED_MAX_BYTES 256

static const char *const kind_names[LD_FAULT_KIND_COUNT] = {
    [LD_FAULT_SYNTAX] = "syntax",
    [LD_FAULT_SIZE] = "size",
    [LD_FAULT_MISSING] = "missing",
    [LD_FAULT_UNKNOWN] = "unknown",
    [LD_FAULT_TYPE] = "type",
    [LD_FAULT_VALUE] = "value",
    [LD_FAULT_DUPLICATE] = "duplicate",
};

const char *
ld_fault_kind_name(enum ld_fault_kind kind)
{
	if ((unsigned int)kind >= LD_FAULT_KIND_COUNT)
		return "unnamed";
	return kind_names[kind];
}

static char *
truncated(struct ld_str s)
{
	struct ld_buf b = {0};

	if (s.len <= FOUND_MAX_BYTES)
		return ld_str_dup(s);
	ld_buf_add(&b, s.p, FOUND_MAX_BYTES);
	ld_buf_adds(&b, LD_STR("..."));
	ld_buf_cstr(&b);
	return b.p;
}

void
ld_faults_add(struct ld_faults *fs, enum ld_fault_kind kind, const char *path,
    struct ld_str found, const char *allowed, ...)
{
	char text[ALLOWED_MAX_BYTES];
	struct ld_fault *f;
	va_list ap;

	if (fs->n == LD_FAULTS_MAX) {
		fs->omitted++;
		return;
	}
	va_start(ap, allowed);
	vsnprintf(text, sizeof(text), allowed, ap);
	va_end(ap);
	fs->v = ld_realloc(fs->v, (fs->n + 1) * sizeof(*fs->v));
	f = &fs->v[fs->n];
	fs->n++;
	f->kind = kind;
	f->path = ld_strdup(path);
	f->found = truncated(found);
	f->allowed = ld_strdup(text);
}

void
ld_faults_print(const struct ld_faults *fs, struct ld_buf *out)
{
	for (size_t i = 0; i < fs->n; i++) {
		const struct ld_fault *f = &fs->v[i];

		ld_buf_printf(out, "%s: found %s, allowed: %s\n",
		    f->path[0] != '\0' ? f->path : "document", f->found,
		    f->allowed);
	}
	if (fs->omitted > 0)
		ld_buf_printf(out, "%zu more faults\n", fs->omitted);
}

void
ld_faults_free(struct ld_faults *fs)
{
	for (size_t i = 0; i < fs->n; i++) {
		free(fs->v[i].path);
		free(fs->v[i].found);
		free(fs->v[i].allowed);
	}
	free(fs->v);
	memset(fs, 0, sizeof(*fs));
}
