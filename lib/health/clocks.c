/*
 * Age of received reports. The clocks of two nodes have different origins. The
 * fastest report of a reporter gives the offset between them; the time that a
 * report took beyond that is its delay.
 */
#include <string.h>

#include "health_internal.h"

/* Clocks drift apart by about 100 ppm, which is 60 ms in one window. */
#define OFFSET_WINDOW_MS 600000
/* The entry of a reporter without reports for this time may be reused. */
#define REPORTER_EXPIRY_MS 600000

static void
reporter_reset(
    struct reporter *r, const struct ld_health_report *report, uint64_t now_ms)
{
	memset(r, 0, sizeof(*r));
	memcpy(r->id, report->reporter, sizeof(r->id));
	r->run = report->run;
	r->first_received_ms = now_ms;
	r->window_start_ms = now_ms;
	r->min_offset = INT64_MAX;
	r->previous_min_offset = INT64_MAX;
}

static struct reporter *
find_or_add(
    struct ld_health *h, const struct ld_health_report *report, uint64_t now_ms)
{
	struct reporter *reuse = NULL;

	for (size_t i = 0; i < h->reporter_count; i++) {
		struct reporter *r = &h->reporters[i];

		if (strcmp(r->id, report->reporter) == 0) {
			if (r->run != report->run)
				reporter_reset(r, report, now_ms);
			return r;
		}
		if (now_ms >= r->last_received_ms + REPORTER_EXPIRY_MS)
			reuse = r;
	}
	if (reuse == NULL && h->reporter_count == h->reporter_cap) {
		h->reporter_cap = h->reporter_cap > 0 ? 2 * h->reporter_cap : 8;
		h->reporters = ld_realloc(
		    h->reporters, h->reporter_cap * sizeof(*h->reporters));
	}
	if (reuse == NULL)
		reuse = &h->reporters[h->reporter_count++];
	reporter_reset(reuse, report, now_ms);
	return reuse;
}

static void
update_offset(struct reporter *r, int64_t offset, uint64_t now_ms)
{
	r->last_received_ms = now_ms;
	if (now_ms >= r->window_start_ms + OFFSET_WINDOW_MS) {
		r->previous_min_offset = r->min_offset;
		r->min_offset = INT64_MAX;
		r->window_start_ms = now_ms;
	}
	if (offset < r->min_offset)
		r->min_offset = offset;
}

uint64_t
clocks_answer_time(
    struct ld_health *h, const struct ld_health_report *report, uint64_t now_ms)
{
	struct reporter *r = find_or_add(h, report, now_ms);
	int64_t offset = (int64_t)(now_ms - report->sent_ms);
	int64_t least;
	uint64_t age;

	update_offset(r, offset, now_ms);
	if (now_ms < r->first_received_ms + h->config.report_ttl_ms)
		return 0;
	least = r->min_offset < r->previous_min_offset ? r->min_offset
						       : r->previous_min_offset;
	age = (uint64_t)(offset - least) + report->age_ms;
	return age < now_ms ? now_ms - age : 0;
}
