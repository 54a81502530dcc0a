/* Inside of server health, shared by the schedule and the merge. */
#ifndef HEALTH_INTERNAL_H
#define HEALTH_INTERNAL_H

#include "ld_health.h"

/** struct heard - one reporter's latest report, on this node's clock */
struct heard {
	struct ld_health_report report;
	uint64_t answer_ms; /* before the last answered probe was sent */
	uint64_t heard_ms;
};

/* Recent durations kept of each server. */
#define SPEED_SAMPLES 5

/** struct speed - recent durations, and whether they are out of line */
struct speed {
	uint32_t recent_ms[SPEED_SAMPLES];
	uint32_t samples; /* ever taken */
	uint32_t typical_ms; /* median of the recent ones */
	bool straggler;
};

/** struct server - what is known of one server */
struct server {
	char address[LD_HEALTH_ADDRESS_MAX];
	char zone[LD_HEALTH_NAME_MAX];
	bool leaving;

	/* Reports, this node's own included. */
	struct heard heard[LD_HEALTH_REPORTERS_MAX];
	size_t heard_count;

	/* This node's own probes. */
	bool mine;
	uint64_t next_probe_ms;
	uint64_t probe; /* awaited, 0 for none */
	uint64_t probe_sent_ms;
	uint32_t failures; /* in a row */
	uint32_t refusals; /* in a row */
	struct ld_health_report own;
	uint64_t own_answer_ms; /* 0 until a probe was answered */
	struct ld_health_report published;
	uint64_t published_ms; /* 0: never */
	struct speed answers;

	/* This node's own calls. */
	struct speed tokens;
	uint32_t call_failures; /* in a row */
	uint64_t call_failed_ms;
};

/** struct node - one live entry node */
struct node {
	char id[LD_HEALTH_ADDRESS_MAX];
	char zone[LD_HEALTH_NAME_MAX];
};

/** struct reporter - how far another node's clock is from this one's */
struct reporter {
	char id[LD_HEALTH_ADDRESS_MAX];
	uint64_t run;
	uint64_t first_ms;
	uint64_t last_ms;
	/* Least of (arrival - sent), in this window and the one before. */
	int64_t least_now;
	int64_t least_before;
	uint64_t window_ms;
};

struct ld_health {
	struct ld_health_config config;
	char self[LD_HEALTH_ADDRESS_MAX];
	char zone[LD_HEALTH_NAME_MAX];
	struct ld_rand rand;
	struct server *servers;
	size_t server_count;
	struct node *nodes;
	size_t node_count;
	struct reporter *reporters;
	size_t reporter_count;
	size_t reporter_cap;
	uint64_t probes; /* number of the last one */
	uint64_t seq;
	struct ld_health_action *actions;
	size_t action_head;
	size_t action_count;
	size_t action_cap;
};

struct server *server_find(const struct ld_health *h, struct ld_str address);
void copy_name(char *out, size_t size, struct ld_str s);
struct ld_health_action *health_push(
    struct ld_health *h, enum ld_health_action_type type);

/** assign_probers() - work out which servers this node probes */
void assign_probers(struct ld_health *h, uint64_t now_ms);
/** probe_place() - place in the array of the server of a probe number */
size_t probe_place(uint64_t probe);
void probe_soon(struct server *s, uint64_t now_ms);

/**
 * clocks_judge() - when the answer behind a report was asked for, at the latest
 *
 * Return: a time on this node's clock; 0 when nothing is known yet.
 */
uint64_t clocks_judge(
    struct ld_health *h, const struct ld_health_report *r, uint64_t now_ms);

/** heard_put() - keep @r as the latest word of its reporter */
enum ld_status heard_put(struct server *s, const struct ld_health_report *r,
    uint64_t answer_ms, uint64_t now_ms);
/** heard_newest() - report with the youngest answer, or NULL */
const struct heard *heard_newest(const struct server *s);
/** heard_agrees() - another reporter said the same of late */
bool heard_agrees(const struct ld_health *h, const struct server *s,
    const struct ld_health_report *r, uint64_t now_ms);
bool report_same(
    const struct ld_health_report *a, const struct ld_health_report *b);

enum speed_kind {
	SPEED_ANSWERS,
	SPEED_TOKENS
};
/** speed_add() - take in a duration and judge it against the other servers */
void speed_add(
    struct ld_health *h, struct server *s, enum speed_kind kind, uint32_t ms);

#endif
