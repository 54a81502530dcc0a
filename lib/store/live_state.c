/*
 * Decides which versions of the live list to adopt. The list service lags, and
 * an outdated replica may respond, so lower versions are refused. When lower
 * versions persist for restart_confirm_ms, the service must have restarted.
 */
#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "store_internal.h"

#define NEVER UINT64_MAX

void
live_state_init(struct live_state *s, uint64_t restart_confirm_ms)
{
	memset(s, 0, sizeof(*s));
	s->restart_confirm_ms = restart_confirm_ms;
	s->lower_since_ms = NEVER;
}

void
live_state_fini(struct live_state *s)
{
	live_doc_free(&s->doc);
	free(s->leaving_since);
	s->leaving_since = NULL;
}

/* Version that last listed the instance as leaving, 0 for live. */
static int64_t
leaving_version(const struct live_state *s, const char *address)
{
	size_t low = 0, high = s->doc.n;

	while (low < high) {
		size_t mid = low + (high - low) / 2;
		int d = strcmp(s->doc.v[mid].address, address);

		if (d == 0)
			return s->leaving_since[mid];
		if (d < 0)
			low = mid + 1;
		else
			high = mid;
	}
	return 0;
}

/*
 * An instance that was listed as leaving becomes live again only in a higher
 * version, or after it was absent. This also holds across a restart of the list
 * service, when its versions start over.
 */
static void
adopt(struct live_state *s, struct live_doc *doc)
{
	int64_t *since = ld_alloc(doc->n * sizeof(*since));

	for (size_t i = 0; i < doc->n; i++) {
		int64_t before = leaving_version(s, doc->v[i].address);

		if (doc->v[i].leaving) {
			since[i] =
			    before > doc->version ? before : doc->version;
		} else if (before >= doc->version) {
			since[i] = before;
			doc->v[i].leaving = true;
		}
	}
	live_state_fini(s);
	s->doc = *doc;
	s->leaving_since = since;
	s->lower_since_ms = NEVER;
	memset(doc, 0, sizeof(*doc));
}

/* True once lower, non-decreasing versions have persisted for long enough. */
static bool
is_restarted(struct live_state *s, int64_t version, uint64_t now_ms)
{
	if (s->lower_since_ms == NEVER || version < s->lower_version)
		s->lower_since_ms = now_ms;
	s->lower_version = version;
	return now_ms - s->lower_since_ms >= s->restart_confirm_ms;
}

enum live_verdict
live_state_apply(struct live_state *s, struct live_doc *doc, uint64_t now_ms)
{
	enum live_verdict verdict = LIVE_ADOPTED;

	assert(doc->version > 0);
	if (doc->version == s->doc.version) {
		s->lower_since_ms = NEVER;
		live_doc_free(doc);
		return LIVE_CONFIRMED;
	}
	if (doc->version < s->doc.version) {
		if (!is_restarted(s, doc->version, now_ms)) {
			live_doc_free(doc);
			return LIVE_REFUSED;
		}
		verdict = LIVE_RESTARTED;
	}
	adopt(s, doc);
	return verdict;
}
