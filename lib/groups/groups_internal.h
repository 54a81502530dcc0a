/* Inside of the control of groups. */
#ifndef GROUPS_INTERNAL_H
#define GROUPS_INTERNAL_H

#include "ld_groups.h"

/* Epochs of one lease count up from its fence times this: with the era and the
 * revision in the fence (47 bits) they stay within 63 bits. */
#define EPOCHS_PER_FENCE 65536

/** enum phase - life of a group */
enum phase {
	PHASE_FORMING, /* members join */
	PHASE_OPENING, /* all are ready, the head was told to serve */
	PHASE_SERVING,
	PHASE_CLOSING, /* its members are free once the head has stopped */
	PHASE_RETIRED /* remembered, so that it isn't taken up again */
};

/** struct member - a server in a group that this node forms */
struct member {
	char id[LD_GROUP_NAME_MAX];
	bool accepted; /* it took the order to join */
	uint64_t ordered_ms; /* last order to join, 0 for none */
	unsigned int tries;
};

/** struct group - one group */
struct group {
	struct group *next;
	struct group *next_in_domain; /* of a plan, see placing.c */
	char name[LD_GROUP_NAME_MAX];
	int64_t epoch;
	char model[LD_GROUP_NAME_MAX];
	char domain[LD_GROUP_NAME_MAX];
	enum phase phase;
	uint64_t since_ms; /* of the phase */
	uint64_t ordered_ms; /* last order to the head in this phase */
	bool adopted; /* a predecessor formed it */
	uint64_t drain_ms; /* closing: what runs may end for so long */
	bool drain_ordered; /* the last order to the head was to drain */
	bool head_left;
	bool head_silent; /* it gave no answer to the order to leave */
	bool head_refuses; /* nothing listened at its address */
	size_t member_count;
	struct member members[LD_GROUP_SIZE_MAX];
};

/** struct note - what this node knows of a server beyond its entry */
struct note {
	struct note *next;
	struct note *next_in_bucket;
	uint64_t taken_in; /* last pass that found it in a group */
	char id[LD_GROUP_NAME_MAX];
	int64_t born_ms; /* the life that the note is about */
	uint64_t probe_ms; /* last question, 0 for none */
	uint64_t heard_ms; /* last answer */
	unsigned int misses; /* questions in a row without an answer */
	bool probe_due;
	uint64_t staged_ms; /* last order to stage, 0 for none */
	char staging[LD_GROUP_NAME_MAX];
	uint64_t leaving_ms; /* when it was first seen to leave, 0: it is not */
	uint64_t avoid_until_ms; /* after a refused order */
	char reported_group[LD_GROUP_NAME_MAX];
	int64_t reported_epoch;
};

/** struct step - inputs of one tick */
struct step {
	struct ld_groups *g;
	struct ld_servers *servers;
	struct ld_str service;
	const struct ld_engine_spec *spec;
	bool settled;
	uint64_t now_ms;
};

/* Of the hash of server ids: some hundred servers. */
#define GROUPS_NOTE_BUCKETS 1024

struct ld_groups {
	bool leading;
	bool initial;
	bool has_traffic; /* a client's request was seen */
	int64_t fence;
	uint64_t lead_ms;
	uint64_t started_ms;
	int64_t last_epoch;
	struct group *groups;
	struct note *notes;
	struct note *buckets[GROUPS_NOTE_BUCKETS];
	uint64_t pass; /* number of the last placing_mark_taken() */
	struct domain
	    *domains; /* room for placing_step(), kept between ticks */
	size_t domain_room;
	double load_tokens; /* loads that may begin now */
	uint64_t load_tokens_ms;
	size_t loads_underway; /* as of this tick, once counted */
	bool loads_counted;
	struct ld_order *orders;
	size_t order_count;
	size_t order_taken;
	struct ld_group_change *changes;
	size_t change_count;
	size_t change_taken;
};

/* ---- server_info.c ---- */

/** note_of() - made at need, and anew when the server has started again */
struct note *note_of(struct ld_groups *g, const struct ld_server *s);
/** note_find() - NULL when there is none */
struct note *note_find(struct ld_groups *g, const char *id);
void notes_free(struct ld_groups *g);
/** note_ask() - ask the server for its report, unless that was done of late */
void note_ask(const struct step *s, struct note *n, uint64_t again_ms);

/* ---- groups.c ---- */

struct ld_order *order_add(struct ld_groups *g, enum ld_order_type type,
    const struct ld_server *to, const struct group *about);
void change_add(struct ld_groups *g, const char *what,
    const struct group *about, const char *server, const char *why);
void group_set_phase(struct group *gr, enum phase phase, uint64_t now_ms);

/**
 * group_name() - "MODEL/EPOCH": a server that still loads doesn't say of which
 * model its group is, and a successor has to know
 */
void group_name(char out[LD_GROUP_NAME_MAX], const char *model, int64_t epoch);
/** group_model() - the model in a name, empty when it is no such name */
struct ld_str group_model(const char *name);

/* ---- lifecycle.c: one step of each group ---- */

/** lifecycle_step() - take up, watch over, open and close groups */
void lifecycle_step(const struct step *s);

/** lifecycle_close() - end a group that serves, as planned */
void lifecycle_close(const struct step *s, struct group *gr, const char *why);

/* ---- placing.c: which servers form a group ---- */

/**
 * placing_mark_taken() - note which servers are in a group
 *
 * placing_has_spare() goes by the last marks; placing_step() makes its own.
 */
void placing_mark_taken(const struct step *s);

/** placing_has_spare() - a free server of the domain holds the weights */
bool placing_has_spare(
    const struct step *s, const char *domain, const char *model);
/** placing_step() - form groups of free servers, stage weights on the rest */
void placing_step(const struct step *s);

#endif
