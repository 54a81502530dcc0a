/* Private to peer_task.c and peer_conn.c. */
#ifndef LD_PEER_TASK_INTERNAL_H
#define LD_PEER_TASK_INTERNAL_H

#include <ev.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include "ld_wire.h"
#include "peer_task.h"

/** struct peer_addr - a parsed "IP:PORT" */
struct peer_addr {
	struct sockaddr_storage sa;
	socklen_t len;
};

enum peer_conn_state {
	CONN_CONNECTING,
	CONN_HELLO,
	CONN_OPEN
};

/** struct peer_conn - one TCP connection; fd is -1 once it is closed */
struct peer_conn {
	struct peer_conn *next;
	struct ld_peer_task *task;
	ev_io reader;
	ev_io writer;
	struct ld_timer deadline; /* of the handshake */
	enum peer_conn_state state;
	int fd;
	bool dialled;
	uint32_t link; /* 0: not known to the peers yet */
	struct ld_wire_session *session;
	struct ld_buf in;
	struct ld_buf out;
	size_t out_done; /* bytes of out that are written */
};

struct ld_peer_task {
	struct ld_task task;
	struct ld_loop *loop;
	struct ld_timer tick;
	struct ld_peer_task_ops ops;
	void *arg;
	struct ld_peers *peers;
	uint64_t incarnation;
	struct ld_buf key;
	struct ld_rand rand;
	struct peer_addr local;
	int listener;
	ev_io acceptor;
	struct peer_conn *conns;
	size_t conn_count;
	struct ld_buf payload; /* scratch */
	bool posted; /* a message to look for actions waits */
	struct ld_peer_task_counters counters;
};

/* ---- peer_listen.c ---- */

enum ld_status peer_addr_parse(struct ld_str s, struct peer_addr *out);
enum ld_status peer_listen(struct ld_peer_task *t, struct ld_str address);
/** peer_accept_again() - listen again after accept() ran out of something */
void peer_accept_again(struct ld_peer_task *t);
/** peer_dial() - start connecting; a failure at once is told to the peers */
void peer_dial(struct ld_peer_task *t, uint32_t link, struct ld_str address);

/* ---- peer_conn.c ---- */

/** peer_conn_new() - take over socket @fd; the handshake has a deadline */
struct peer_conn *peer_conn_new(struct ld_peer_task *t, int fd, bool dialled);
struct peer_conn *peer_conn_find(const struct ld_peer_task *t, uint32_t link);
/** peer_conn_send() - seal @payload into the output queue of @c */
void peer_conn_send(struct peer_conn *c, struct ld_str payload);
/** peer_conn_close() - close the socket; peer_conns_reap() frees it later */
void peer_conn_close(struct peer_conn *c);
/** peer_conns_flush() - write what is queued, as far as the sockets take it */
void peer_conns_flush(struct ld_peer_task *t);
void peer_conns_reap(struct ld_peer_task *t);

/* ---- peer_task.c ---- */

/** peer_task_settle() - perform all actions, write, and set the timer */
void peer_task_settle(struct ld_peer_task *t);

#endif
