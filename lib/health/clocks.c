/*
 * Age of reports that travelled. Clocks of two nodes share no zero, but the
 * quickest report of a reporter shows how far apart they are; what a report
 * took longer than that is its delay.
 */
#include <string.h>

#include "health_internal.h"

/* Clocks drift apart by some 100 ppm, that is 60 ms in one window. */
#define WINDOW_MS 600000
/* A reporter that is silent for so long is forgotten. */
#define FORGET_MS 600000

static void
restart(
    struct reporter *r, const struct ld_health_report *report, uint64_t now_ms)
{
	memset(r, 0, sizeof(*r));
	memcpy(r->id, report->reporter, sizeof(r->id));
	r->run = report->run;
	r->first_ms = now_ms;
	r->window_ms = now_ms;
	r->least_now = INT64_MAX;
	r->least_before = INT64_MAX;
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
				restart(r, report, now_ms);
			return r;
		}
		if (now_ms >= r->last_ms + FORGET_MS)
			reuse = r;
	}
	if (reuse == NULL && h->reporter_count == h->reporter_cap) {
		h->reporter_cap = h->reporter_cap > 0 ? 2 * h->reporter_cap : 8;
		h->reporters = ld_realloc(
		    h->reporters, h->reporter_cap * sizeof(*h->reporters));
	}
	if (reuse == NULL)
		reuse = &h->reporters[h->reporter_count++];
	restart(reuse, report, now_ms);
	return reuse;
}

static void
note_offset(struct reporter *r, int64_t offset, uint64_t now_ms)
{
	r->last_ms = now_ms;
	if (now_ms >= r->window_ms + WINDOW_MS) {
		r->least_before = r->least_now;
		r->least_now = INT64_MAX;
		r->window_ms = now_ms;
	}
	if (offset < r->least_now)
		r->least_now = offset;
}

uint64_t
clocks_judge(
    struct ld_health *h, const struct ld_health_report *report, uint64_t now_ms)
{
	struct reporter *r = find_or_add(h, report, now_ms);
	int64_t offset = (int64_t)(now_ms - report->sent_ms);
	int64_t least;
	uint64_t age;

	note_offset(r, offset, now_ms);
	if (now_ms < r->first_ms + h->config.report_ttl_ms)
		return 0;
	least = r->least_now < r->least_before ? r->least_now : r->least_before;
	age = (uint64_t)(offset - least) + report->age_ms;
	return age < now_ms ? now_ms - age : 0;
}
