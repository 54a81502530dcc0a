/* Internal declarations of lib/health. */
#ifndef HEALTH_INTERNAL_H
#define HEALTH_INTERNAL_H

#include "ld_health.h"

/** struct received_report - one reporter's latest report, in local time */
struct received_report {
	struct ld_health_report report;
	uint64_t answer_ms; /* just before the last answered probe was sent */
	uint64_t received_ms;
};

/* Number of recent durations kept for each server. */
#define DURATION_SAMPLES 5

/** struct duration_stats - recent durations and whether they are outliers */
struct duration_stats {
	uint32_t recent_ms[DURATION_SAMPLES];
	uint32_t samples; /* total number */
	uint32_t median_ms; /* of the recent durations */
	bool straggler;
};

/** struct server - state of one server */
struct server {
	char address[LD_HEALTH_ADDRESS_MAX];
	char zone[LD_HEALTH_NAME_MAX];
	bool leaving;

	/* Latest report of each reporter, including this node. */
	struct received_report reports[LD_HEALTH_REPORTERS_MAX];
	size_t report_count;

	/* This node's own probes. */
	bool assigned; /* this node is one of its probers */
	uint64_t next_probe_ms;
	uint64_t pending_probe; /* 0 for none */
	uint64_t probe_sent_ms;
	uint32_t probe_failures; /* consecutive */
	uint32_t probe_refusals; /* consecutive */
	struct ld_health_report own;
	uint64_t own_answer_ms; /* 0 until a probe is answered */
	struct ld_health_report published;
	uint64_t published_ms; /* 0: never */
	struct duration_stats answer_durations;

	/* This node's own calls. */
	struct duration_stats token_durations;
	uint32_t call_failures; /* consecutive */
	uint64_t call_failed_ms;
};

/** struct node - one live entry node */
struct node {
	char id[LD_HEALTH_ADDRESS_MAX];
	char zone[LD_HEALTH_NAME_MAX];
};

/** struct reporter - clock offset of another node relative to this one */
struct reporter {
	char id[LD_HEALTH_ADDRESS_MAX];
	uint64_t run;
	uint64_t first_received_ms;
	uint64_t last_received_ms;
	/* Minimum of (arrival - sent) in the current and previous window. */
	int64_t min_offset;
	int64_t previous_min_offset;
	uint64_t window_start_ms;
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
	uint64_t last_probe; /* number of the last probe */
	uint64_t seq;
	struct ld_health_action *actions;
	size_t action_head;
	size_t action_count;
	size_t action_cap;
};

struct server *server_find(const struct ld_health *h, struct ld_str address);
void copy_name(char *out, size_t size, struct ld_str s);
struct ld_health_action *health_push_action(
    struct ld_health *h, enum ld_health_action_type type);

/** assign_probers() - determine which servers this node probes */
void assign_probers(struct ld_health *h, uint64_t now_ms);
/** probe_server_index() - array index of the server of a probe number */
size_t probe_server_index(uint64_t probe);
void probe_soon(struct server *s, uint64_t now_ms);

/**
 * clocks_answer_time() - estimate when the last answered probe was sent
 *
 * Return: a time on this node's clock; 0 while there is no clock reference.
 */
uint64_t clocks_answer_time(
    struct ld_health *h, const struct ld_health_report *r, uint64_t now_ms);

/** report_store() - keep @r as the latest report of its reporter */
enum ld_status report_store(struct server *s, const struct ld_health_report *r,
    uint64_t answer_ms, uint64_t now_ms);
/** report_with_newest_answer() - NULL if no reporter has had an answer */
const struct received_report *report_with_newest_answer(const struct server *s);
/** report_matches_peer() - a recent report of another node equals @r */
bool report_matches_peer(const struct ld_health *h, const struct server *s,
    const struct ld_health_report *r, uint64_t now_ms);
bool report_equal(
    const struct ld_health_report *a, const struct ld_health_report *b);

enum duration_kind {
	DURATION_ANSWER,
	DURATION_TOKEN
};
/** duration_add() - add a sample and compare with the other servers */
void duration_add(struct ld_health *h, struct server *s,
    enum duration_kind kind, uint32_t ms);

#endif
