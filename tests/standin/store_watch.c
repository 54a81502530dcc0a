/* Watches of the store stand-in: one stream of JSON lines each. */
#include <stdlib.h>
#include <string.h>

#include "store_internal.h"

#define PROGRESS_MS 1000

struct watch {
	struct watch *next;
	struct si_req *req;
	struct key_range range;
	int64_t next_revision; /* events before it were sent */
	bool progress;
	struct ld_timer timer;
};

static struct watch *watches;
static size_t watch_count;

static void
send_line(struct watch *w, json_t *result)
{
	json_t *line = json_pack("{s:o}", "result", result);
	char *text = json_dumps(line, JSON_COMPACT);

	si_push(w->req, ld_str_c(text));
	si_push(w->req, LD_STR("\n"));
	free(text);
	json_decref(line);
}

static json_t *
describe_event(const struct store_event *e)
{
	json_t *j = json_pack("{s:o}", "kv", store_kv(e));

	if (e->version == 0)
		json_object_set_new(j, "type", json_string("DELETE"));
	return j;
}

static void
deliver(struct watch *w)
{
	json_t *events = json_array();

	for (size_t i = 0; i < store.event_count; i++) {
		const struct store_event *e = &store.events[i];

		if (e->revision >= w->next_revision &&
		    store_in_range(&w->range, &e->key))
			json_array_append_new(events, describe_event(e));
	}
	w->next_revision = store.revision + 1;
	if (json_array_size(events) > 0)
		send_line(w,
		    json_pack("{s:o,s:O}", "header", store_header(), "events",
			events));
	json_decref(events);
}

void
store_watch_deliver(void)
{
	if (si_fault_is(&store.fault, "freeze-watch"))
		return;
	for (struct watch *w = watches; w != NULL; w = w->next)
		deliver(w);
}

static void
on_progress(struct ld_timer *t, uint64_t now_ms)
{
	struct watch *w =
	    (struct watch *)((char *)t - offsetof(struct watch, timer));

	if (!si_fault_is(&store.fault, "freeze-watch"))
		send_line(w, json_pack("{s:o}", "header", store_header()));
	ld_timer_after(ld_loop_timers(store.loop), t, PROGRESS_MS);
}

void
store_watch(struct si_req *r, json_t *request)
{
	json_t *create = json_object_get(request, "create_request");
	struct watch *w = ld_alloc(sizeof(*w));

	if (create == NULL)
		create = json_object_get(request, "createRequest");
	w->req = r;
	w->range = store_key_range(create);
	w->next_revision =
	    store_int64(json_object_get(create, "start_revision"));
	if (w->next_revision == 0)
		w->next_revision = store.revision + 1;
	w->timer.fn = on_progress;
	w->next = watches;
	watches = w;
	watch_count++;
	r->user = w;
	si_stream(r, "application/json");
	send_line(w,
	    json_pack("{s:o,s:b}", "header", store_header(), "created", true));
	if (!si_fault_is(&store.fault, "freeze-watch"))
		deliver(w);
	if (json_is_true(json_object_get(create, "progress_notify")))
		ld_timer_after(
		    ld_loop_timers(store.loop), &w->timer, PROGRESS_MS);
}

void
store_watch_closed(struct si_req *r)
{
	struct watch *w = r->user;
	struct watch **p;

	if (w == NULL)
		return;
	for (p = &watches; *p != w; p = &(*p)->next)
		;
	*p = w->next;
	watch_count--;
	ld_timer_stop(ld_loop_timers(store.loop), &w->timer);
	store_key_range_free(&w->range);
	free(w);
}

void
store_watch_cut_all(void)
{
	for (struct watch *w = watches; w != NULL; w = w->next)
		si_cut(w->req);
}

size_t
store_watch_count(void)
{
	return watch_count;
}
