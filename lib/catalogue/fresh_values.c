/*
 * Selects the catalogue in force. Snapshots from the store and from peers are
 * ordered by the store revision of their key and adopted only when newer, so
 * that a node never returns to an older catalogue.
 */
#include <stdlib.h>

#include "fresh_internal.h"

static void
adopt(struct ld_fresh *f, uint64_t now_ms, struct ld_catalogue *c,
    struct ld_str bytes)
{
	char *copy = ld_str_dup(bytes);
	struct ld_fresh_action *a;

	ld_catalogue_unref(f->current);
	free(f->bytes);
	f->current = c;
	f->bytes = copy;
	f->bytes_len = bytes.len;
	f->adopted_ms = now_ms;
	if (f->first_adopted_ms == NEVER)
		f->first_adopted_ms = now_ms;
	a = fresh_queue_action(f, LD_FRESH_ADOPT);
	a->catalogue = c;
	a->revision = ld_catalogue_revision(c);
	fresh_queue_action(f, LD_FRESH_CONFIRM)->revision =
	    ld_catalogue_revision(c);
}

static int64_t
revision_in_force(const struct ld_fresh *f)
{
	return f->current != NULL ? ld_catalogue_revision(f->current) : 0;
}

/* Parses a newer document and adopts it; false when it is invalid. */
static bool
try_adopt(
    struct ld_fresh *f, uint64_t now_ms, int64_t revision, struct ld_str bytes)
{
	struct ld_catalogue *c;

	if (ld_catalogue_parse(bytes, revision, &c, NULL) != LD_OK) {
		f->counters.invalid++;
		return false;
	}
	adopt(f, now_ms, c, bytes);
	return true;
}

static void
offer(struct ld_fresh *f)
{
	struct ld_fresh_action *a = fresh_queue_action(f, LD_FRESH_OFFER);

	a->revision = revision_in_force(f);
	a->bytes = (struct ld_str){f->bytes, f->bytes_len};
}

/*
 * Alarms for a stored value that is not newer than the catalogue in force. An
 * older value leaves the alarms as they are if it was pushed by a watch or if
 * the read was sent before the adoption: it may only be delayed.
 */
static unsigned int
alarms_for_stale_value(const struct ld_fresh *f, const struct ld_fresh_value *v)
{
	struct ld_str bytes = {f->bytes, f->bytes_len};

	if (f->current == NULL)
		return 0;
	if (v->revision == revision_in_force(f))
		return ld_str_eq(v->bytes, bytes) ? 0 : LD_FRESH_DIFFERENT;
	if (v->read_sent_ms <= f->adopted_ms)
		return f->alarms;
	return v->revision == 0 ? LD_FRESH_ABSENT : LD_FRESH_OLDER;
}

void
ld_fresh_store_value(
    struct ld_fresh *f, uint64_t now_ms, const struct ld_fresh_value *v)
{
	unsigned int alarms = 0;

	if (v->read_sent_ms != 0) {
		f->reading_since_ms = NEVER;
		fresh_note_contact(&f->store_contact_ms, v->read_sent_ms);
	}
	if (v->revision <= revision_in_force(f)) {
		f->counters.older += v->revision < revision_in_force(f);
		alarms = alarms_for_stale_value(f, v);
	} else if (try_adopt(f, now_ms, v->revision, v->bytes)) {
		f->counters.adopted_from_store++;
		offer(f);
	} else {
		alarms = LD_FRESH_INVALID;
	}
	fresh_set_alarms(f, alarms);
	fresh_update(f, now_ms);
}

void
ld_fresh_store_failed(
    struct ld_fresh *f, uint64_t now_ms, enum ld_status status)
{
	f->reading_since_ms = NEVER;
	if (status == LD_E_STALE || status == LD_E_PROTOCOL)
		fresh_set_alarms(f, f->alarms | LD_FRESH_REFUSED);
	fresh_update(f, now_ms);
}

void
ld_fresh_peer_value(
    struct ld_fresh *f, uint64_t now_ms, int64_t revision, struct ld_str bytes)
{
	if (revision > f->newest_peer_revision)
		f->newest_peer_revision = revision;
	if (revision <= revision_in_force(f))
		f->counters.older++;
	else if (try_adopt(f, now_ms, revision, bytes))
		f->counters.adopted_from_peers++;
	fresh_update(f, now_ms);
}
