/* Detection of silent groups by their streams. */
#include "ld_dispatch.h"

/* A group is silent after this time without a byte on any of its streams, ms:
 * longer than a pass that prefills full chunks beside its steps. */
#define SILENT_MS 450
/* A group gets no new requests for this time after an alarm of another process,
 * ms: until the next alarm, which repeats as long as the group is silent. */
#define ALARMED_MS 600

static uint64_t
max_u64(uint64_t a, uint64_t b)
{
	return a > b ? a : b;
}

bool
ld_dispatch_silent(
    const struct ld_server *s, uint64_t on_time_since_ms, uint64_t now_ms)
{
	uint64_t heard = max_u64(s->last_byte_ms, s->peer_last_byte_ms);

	if (s->active == 0 || s->entry.member.group == NULL ||
	    s->byte_due_ms == 0)
		return false;
	return now_ms >
	    max_u64(max_u64(heard, s->byte_due_ms), on_time_since_ms) +
	    SILENT_MS;
}

bool
ld_dispatch_on_alarm(struct ld_server *s, uint64_t now_ms)
{
	if (now_ms <=
	    max_u64(s->last_byte_ms, s->peer_last_byte_ms) + SILENT_MS)
		return false;
	s->suspect_until_ms = max_u64(s->suspect_until_ms, now_ms + ALARMED_MS);
	return true;
}
