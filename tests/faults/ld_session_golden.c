/* Transcript of a session and its golden file. */
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include "ld_session.h"
#include "ld_test.h"

void
ld_alias(struct ld_session *s, const char *text, const char *name)
{
	struct ld_alias *a = &s->aliases[s->alias_count];

	for (size_t i = 0; i < s->alias_count; i++)
		if (strcmp(s->aliases[i].text, text) == 0)
			return;
	if (s->alias_count == LD_ALIASES_MAX)
		return;
	s->alias_count++;
	a->text = ld_strdup(text);
	a->name = ld_strdup(name);
}

/* Appends @text with every aliased text replaced by <NAME>. */
static void
add_normalised(struct ld_session *s, struct ld_str text)
{
	size_t i = 0;

	while (i < text.len) {
		struct ld_str rest = {text.p + i, text.len - i};
		const struct ld_alias *hit = NULL;

		for (size_t k = 0; k < s->alias_count; k++) {
			struct ld_str a = ld_str_c(s->aliases[k].text);

			if (ld_str_starts(rest, a) &&
			    (hit == NULL || a.len > strlen(hit->text)))
				hit = &s->aliases[k];
		}
		if (hit == NULL) {
			ld_buf_add(&s->transcript, text.p + i, 1);
			i++;
			continue;
		}
		ld_buf_printf(&s->transcript, "<%s>", hit->name);
		i += strlen(hit->text);
	}
}

void
ld_note(struct ld_session *s, const char *fmt, ...)
{
	char line[2048];
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(line, sizeof(line), fmt, ap);
	va_end(ap);
	add_normalised(s, ld_str_c(line));
	ld_buf_adds(&s->transcript, LD_STR("\n"));
}

static void
alias_request(struct ld_session *s, const struct ld_reply *r)
{
	char name[32];

	if (r->request_id[0] == '\0')
		return;
	snprintf(name, sizeof(name), "request-%u", ++s->request_ids);
	ld_alias(s, r->request_id, name);
}

void
ld_note_reply(struct ld_session *s, const struct ld_reply *r)
{
	char retry[32] = "";
	const char *at =
	    r->head.len > 0 ? strcasestr(r->head.p, "\nRetry-After: ") : NULL;

	alias_request(s, r);
	if (at != NULL)
		snprintf(retry, sizeof(retry), ", retry after %ld s",
		    strtol(at + 14, NULL, 10));
	ld_note(
	    s, "< %ld %s%s%s", r->code, r->type, retry, r->ok ? "" : " (cut)");
	add_normalised(s, ld_buf_str(&r->body));
	if (r->body.len > 0 && r->body.p[r->body.len - 1] != '\n')
		ld_buf_adds(&s->transcript, LD_STR("\n"));
}

static bool
read_file(const char *path, struct ld_buf *out)
{
	char bytes[4096];
	FILE *f = fopen(path, "re");
	size_t n;

	if (f == NULL)
		return false;
	while ((n = fread(bytes, 1, sizeof(bytes), f)) > 0)
		ld_buf_add(out, bytes, n);
	fclose(f);
	return true;
}

static void
write_file(const char *path, struct ld_str text)
{
	FILE *f = fopen(path, "we");

	if (f == NULL)
		return;
	fwrite(text.p, 1, text.len, f);
	fclose(f);
	printf("wrote %s\n", path);
}

static void
show_difference(struct ld_str want, struct ld_str got)
{
	size_t i = 0, line = 0, from = 0;

	while (i < want.len && i < got.len && want.p[i] == got.p[i]) {
		if (want.p[i] == '\n') {
			from = i + 1;
			line++;
		}
		i++;
	}
	printf("line %zu differs\nwanted: %.*s\ngot:    %.*s\n", line + 1,
	    (int)(want.len - from > 300 ? 300 : want.len - from), want.p + from,
	    (int)(got.len - from > 300 ? 300 : got.len - from), got.p + from);
}

void
ld_golden(struct ld_session *s)
{
	const char *update = getenv("LD_GOLDEN_UPDATE");
	struct ld_buf want = {0};
	struct ld_str got = ld_buf_str(&s->transcript);
	char path[128];
	bool same;

	snprintf(path, sizeof(path), "tests/golden/%s.golden", s->name);
	if (update != NULL && strcmp(update, "1") == 0)
		write_file(path, got);
	same = read_file(path, &want) && ld_str_eq(ld_buf_str(&want), got);
	if (!same && want.len > 0)
		show_difference(ld_buf_str(&want), got);
	ld_session_expect(s, same, "the transcript differs from the golden");
	ld_buf_free(&want);
}
