/* Blocking HTTP calls to the operators' listeners of nodes. */
#ifndef CLIENT_H
#define CLIENT_H

#include <argp.h>

#include "ld_common.h"

#define CLIENT_NODES_MAX 512

/** struct client - nodes to call, operator token and output format */
struct client {
	char *nodes[CLIENT_NODES_MAX]; /* "IP:PORT" of operators' listeners */
	size_t node_count;
	char *token;
	bool json;
};

/** Options shared by the subcommands that call nodes; input: struct client. */
extern const struct argp client_argp;
extern const struct argp_child client_children[];

void client_fini(struct client *c);

/**
 * struct client_answer - response of a node
 * @status: LD_OK when a response was received
 * @code: HTTP status code
 */
struct client_answer {
	enum ld_status status;
	long code;
	struct ld_buf body;
};

/**
 * client_call() - call one node and wait for the response
 * @header: additional header line, or NULL
 * @out: to be freed with client_answer_fini()
 */
void client_call(const struct client *c, const char *node, const char *method,
    const char *path, const char *header, struct ld_str body,
    struct client_answer *out);
void client_answer_fini(struct client_answer *a);

/**
 * client_succeeded() - whether the response has a 2xx status
 *
 * Otherwise prints the error to standard error: that no response was received,
 * or the title and detail of the problem document.
 */
bool client_succeeded(const char *node, const struct client_answer *a);

/** read_file() - whole file, "-" for standard input; LD_E_IO, LD_E_TOO_LARGE */
enum ld_status read_file(const char *path, struct ld_buf *out);

#endif
