/*
 * Interface of a platform adapter, used by the relay: header fields, paths,
 * parsers and encoders. Source: platform.
 */
#ifndef LD_DIALECT_H
#define LD_DIALECT_H

#include "ld_groups.h"
#include "ld_quarantine.h"
#include "ld_routes.h"
#include "ld_servers.h"
#include "ld_store_codec.h"

/** enum ld_field - header fields that the relay reads or sets */
enum ld_field {
	LD_FIELD_ATTEMPT_ID, /* of one attempt of a client; echoed by servers */
	LD_FIELD_DEADLINE_MS, /* time that the client still waits */
	LD_FIELD_LAST_EVENT, /* resume a stream after this event */
	LD_FIELD_SIGNATURE, /* of the server that produced the response */
	LD_FIELD_ACCOUNT, /* name of the client account, for servers */
	LD_FIELD_EXPECT_SERVER, /* other servers must refuse the request */
	LD_FIELD_NOT_EXECUTED, /* the server did not execute the request */
	LD_FIELD_LEAVING, /* "1": the responding server is leaving */
	LD_FIELD_RATE_LIMIT, /* requests a second that the server takes from
			      * all nodes together, a decimal number */
	LD_FIELD_MODEL,
	LD_FIELD_TOKENS, /* "PROMPT,MAX_COMPLETION", in tokens */
	LD_FIELD_PROMPT, /* parts of the prompt, see read_prompt */
	LD_FIELD_PRIORITY, /* 0 (most urgent) to priority_last */
	LD_FIELD_AUTHORIZATION,
	LD_FIELD_COUNT
};

/**
 * struct ld_dialect - names, formats and calls of the deployment platform
 * @fields: names of header fields by enum ld_field
 * @auth_scheme: scheme in the authorization field, with its trailing space
 * @priority_last: priority of the least urgent requests; 0 is the most urgent
 * @ready_path: path of the load balancer's readiness check
 * @config_key: store key of the operators' configuration
 * @servers_prefix: prefix of the store keys of server entries
 * @evacuations_prefix: prefix of the store keys that name the failure domains
 *	which operators evacuate; such a key exists while its domain is evacuated
 * @codec: wire format of the store
 * @report_target: request target for the report of an engine
 * @order_target: request target for orders to an engine
 * @read_routes: parses the operators' configuration; LD_E_PROTOCOL when it is
 *	malformed
 * @read_server: parses the entry of server @id; LD_E_PROTOCOL when it is
 *	malformed
 * @read_report: parses the report of a server; sets only the fields that the
 *	report contains
 * @read_prompt: parses the parts of a prompt; malformed ones are skipped
 * @encode_order: encodes the body of an order
 */
struct ld_dialect {
	const char *fields[LD_FIELD_COUNT];
	const char *auth_scheme;
	uint32_t priority_last;
	const char *ready_path;
	const char *config_key;
	const char *servers_prefix;
	const char *evacuations_prefix;
	const struct ld_store_codec *codec;
	const char *report_target;
	const char *order_target;
	enum ld_status (*read_routes)(
	    struct ld_str value, struct ld_routes **out);
	enum ld_status (*read_server)(
	    struct ld_str id, struct ld_str value, struct ld_server_entry *out);
	enum ld_status (*read_report)(
	    struct ld_str body, struct ld_server_entry *out);
	/* @out is overwritten; ld_prompt_fini() frees it. */
	void (*read_prompt)(struct ld_str value, struct ld_prompt *out);
	void (*encode_order)(const struct ld_order *o, struct ld_buf *out);
};

#endif
