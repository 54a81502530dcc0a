/* Listening and outgoing connections of the peer task. */
#include <errno.h>
#include <netdb.h>
#include <string.h>
#include <stdlib.h>
#include <unistd.h>

#include "peer_task_internal.h"

#define CONNS_MAX 1024
#define BACKLOG 512

/* ---- Addresses ---- */

enum ld_status
peer_addr_parse(struct ld_str s, struct peer_addr *out)
{
	struct addrinfo hints = {0};
	struct addrinfo *found = NULL;
	enum ld_status st = LD_OK;
	char *host = ld_str_dup(s);
	char *name = host;
	char *colon = strrchr(host, ':');

	hints.ai_flags = AI_NUMERICHOST | AI_NUMERICSERV;
	hints.ai_socktype = SOCK_STREAM;
	if (colon != NULL)
		*colon = '\0';
	if (*name == '[' && colon > name && colon[-1] == ']') {
		colon[-1] = '\0';
		name++;
	}
	if (colon == NULL ||
	    getaddrinfo(name, colon + 1, &hints, &found) != 0) {
		st = ld_fail(LD_E_INVALID, "not an IP:PORT: %.*s", LD_FMT(s));
		goto out;
	}
	memcpy(&out->sa, found->ai_addr, found->ai_addrlen);
	out->len = found->ai_addrlen;
	freeaddrinfo(found);
out:
	free(host);
	return st;
}

static void
set_port_any(struct peer_addr *a)
{
	if (a->sa.ss_family == AF_INET6)
		((struct sockaddr_in6 *)&a->sa)->sin6_port = 0;
	else
		((struct sockaddr_in *)&a->sa)->sin_port = 0;
}

/* ---- Listening and dialling ---- */

static void
on_acceptable(struct ev_loop *ev, ev_io *w, int revents)
{
	struct ld_peer_task *t = w->data;
	int fd;

	fd = accept4(t->listener, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
	if (fd < 0) {
		/*
		 * The pending connection keeps the listener readable, so the
		 * loop would spin; peer_accept_resume() starts it again.
		 */
		if (errno == EMFILE || errno == ENFILE || errno == ENOMEM)
			ev_io_stop(ev, w);
		return;
	}
	if (t->conn_count >= CONNS_MAX) {
		close(fd);
		return;
	}
	t->counters.accepts++;
	peer_conn_new(t, fd, false)->state = CONN_HELLO;
	ev_io_start(ev, &t->conns->reader);
	peer_task_perform_actions(t);
}

void
peer_accept_resume(struct ld_peer_task *t)
{
	ev_io_start(ld_loop_ev(t->loop), &t->acceptor);
}

enum ld_status
peer_listen(struct ld_peer_task *t, struct ld_str address)
{
	int on = 1;
	enum ld_status st = peer_addr_parse(address, &t->local);

	if (st != LD_OK)
		return st;
	t->listener = socket(t->local.sa.ss_family,
	    SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (t->listener < 0)
		return ld_fail(LD_E_IO, "socket: %s", strerror(errno));
	setsockopt(t->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(t->listener, (struct sockaddr *)&t->local.sa, t->local.len) <
		0 ||
	    listen(t->listener, BACKLOG) < 0)
		return ld_fail(LD_E_IO, "can't listen at %.*s: %s",
		    LD_FMT(address), strerror(errno));
	ev_io_init(&t->acceptor, on_acceptable, t->listener, EV_READ);
	t->acceptor.data = t;
	ev_io_start(ld_loop_ev(t->loop), &t->acceptor);
	return LD_OK;
}

/* Connects from the IP address of the listener, on any port. */
static int
dial_socket(const struct ld_peer_task *t, const struct peer_addr *to)
{
	struct peer_addr from = t->local;
	int on = 1;
	int fd = socket(
	    to->sa.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return -1;
	set_port_any(&from);
	setsockopt(fd, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &on, sizeof(on));
	if (to->sa.ss_family == from.sa.ss_family &&
	    bind(fd, (struct sockaddr *)&from.sa, from.len) < 0)
		goto fail;
	if (connect(fd, (const struct sockaddr *)&to->sa, to->len) < 0 &&
	    errno != EINPROGRESS)
		goto fail;
	return fd;
fail:
	close(fd);
	return -1;
}

void
peer_dial(struct ld_peer_task *t, uint32_t link, struct ld_str address)
{
	struct peer_addr to = {0};
	struct peer_conn *c;
	int fd = -1;

	if (t->conn_count < CONNS_MAX && peer_addr_parse(address, &to) == LD_OK)
		fd = dial_socket(t, &to);
	if (fd < 0) {
		ld_peers_closed(t->peers, ld_loop_now(t->loop), link);
		return;
	}
	c = peer_conn_new(t, fd, true);
	c->link = link;
	c->state = CONN_CONNECTING;
	ev_io_start(ld_loop_ev(t->loop), &c->writer);
}
