/*
 * What the relay asks of an adapter: how clients, engines, operators and the
 * store's entries are spoken to and read. Source: platform.
 */
#ifndef LD_DIALECT_H
#define LD_DIALECT_H

#include "ld_groups.h"
#include "ld_routes.h"
#include "ld_servers.h"
#include "ld_store_codec.h"

/** enum ld_field - header fields with a meaning */
enum ld_field {
	LD_FIELD_ATTEMPT_ID, /* of one try of a client; echoed by servers */
	LD_FIELD_DEADLINE_MS, /* how much longer the client waits */
	LD_FIELD_LAST_EVENT, /* a stream goes on after this event */
	LD_FIELD_SIGNATURE, /* of the server that made an answer */
	LD_FIELD_ACCOUNT, /* name of the client account, for servers */
	LD_FIELD_EXPECT_SERVER, /* any other server must refuse */
	LD_FIELD_NOT_RUN, /* the server says that it did not run it */
	LD_FIELD_LEAVING, /* the server that answers takes no new request soon */
	LD_FIELD_MODEL,
	LD_FIELD_TOKENS, /* "PROMPT,LONGEST_ANSWER" */
	LD_FIELD_PRIORITY, /* how urgent it is, 0 to @priority_last */
	LD_FIELD_AUTHORIZATION,
	LD_FIELD_COUNT
};

/**
 * struct ld_dialect - names, formats and calls of the machines' platform
 * @fields: names of header fields by enum ld_field
 * @auth_scheme: of the authorization field, with its trailing space
 * @priority_last: of the least urgent requests; 0 is the most urgent
 * @ready_path: where the balancer asks whether this node takes connections
 * @config_key, @servers_prefix: in the store
 * @codec: of the store
 * @report_target, @order_target: of the engines
 * @read_routes: an operators' configuration; LD_E_PROTOCOL when it is broken
 * @read_server: an entry of the server @id; LD_E_PROTOCOL when it names none
 * @read_report: what a server answers of itself when asked; fills in only what
 *	the answer tells
 * @write_order: the body of an order
 */
struct ld_dialect {
	const char *fields[LD_FIELD_COUNT];
	const char *auth_scheme;
	uint32_t priority_last;
	const char *ready_path;
	const char *config_key;
	const char *servers_prefix;
	const struct ld_store_codec *codec;
	const char *report_target;
	const char *order_target;
	enum ld_status (*read_routes)(
	    struct ld_str value, struct ld_routes **out);
	enum ld_status (*read_server)(
	    struct ld_str id, struct ld_str value, struct ld_server_entry *out);
	enum ld_status (*read_report)(
	    struct ld_str body, struct ld_server_entry *out);
	void (*write_order)(const struct ld_order *o, struct ld_buf *out);
};

#endif
