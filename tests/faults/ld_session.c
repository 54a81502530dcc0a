/* Processes of a session. */
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include "ld_session.h"
#include "ld_test.h"

#define POLL_US 5000
#define ARGV_MAX 40
#define LOG_TAIL_BYTES 3000

uint64_t
ld_now_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_BOOTTIME, &ts);
	return (uint64_t)ts.tv_sec * 1000 + (uint64_t)ts.tv_nsec / 1000000;
}

bool
ld_wait_until(bool (*cond)(void *arg), void *arg, uint64_t ms)
{
	uint64_t end = ld_now_ms() + ms;

	while (!cond(arg)) {
		if (ld_now_ms() > end)
			return false;
		usleep(POLL_US);
	}
	return true;
}

void
ld_session_begin(struct ld_session *s, const char *name)
{
	unsigned int pid = (unsigned int)getpid();

	memset(s, 0, sizeof(*s));
	s->name = name;
	/* Sessions of other test programs may run beside this one. */
	snprintf(s->network, sizeof(s->network), "127.%u.%u",
	    1 + (pid >> 8) % 250, pid & 255);
	s->next_host = 1;
	strcpy(s->dir, "/tmp/ld_session.XXXXXX");
	if (mkdtemp(s->dir) == NULL)
		abort();
}

void
ld_session_expect(struct ld_session *s, bool ok, const char *what)
{
	CU_ASSERT_TRUE(ok);
	if (ok)
		return;
	s->failed = true;
	printf("%s: FAILED: %s\n", s->name, what);
}

static void
show_log(const struct ld_proc *p)
{
	static char tail[LOG_TAIL_BYTES];
	int fd = open(p->log, O_RDONLY | O_CLOEXEC);
	off_t size;
	ssize_t n;

	if (fd < 0)
		return;
	size = lseek(fd, 0, SEEK_END);
	if (size > LOG_TAIL_BYTES)
		lseek(fd, -LOG_TAIL_BYTES, SEEK_END);
	else
		lseek(fd, 0, SEEK_SET);
	n = read(fd, tail, sizeof(tail));
	if (n > 0)
		printf("---- %s %s\n%.*s", p->name, p->address, (int)n, tail);
	close(fd);
}

void
ld_session_end(struct ld_session *s)
{
	char command[128];

	for (size_t i = 0; i < s->proc_count; i++) {
		ld_kill(&s->procs[i]);
		if (s->failed)
			show_log(&s->procs[i]);
		unlink(s->procs[i].log);
	}
	for (size_t i = 0; i < s->proc_count; i++) {
		snprintf(command, sizeof(command), "%s/%s.json", s->dir,
		    s->procs[i].name);
		unlink(command);
	}
	rmdir(s->dir);
	for (size_t i = 0; i < s->alias_count; i++) {
		free(s->aliases[i].text);
		free(s->aliases[i].name);
	}
	ld_buf_free(&s->transcript);
}

/* ---- The loop ---- */

/** struct stop - a timer that stops the loop */
struct stop {
	struct ld_timer timer; /* first member */
	struct ld_loop *loop;
};

static void
on_stop(struct ld_timer *t, uint64_t now_ms)
{
	ld_loop_stop(((struct stop *)t)->loop);
}

void
ld_loop_run_for(struct ld_loop *loop, uint64_t ms)
{
	struct stop stop = {{.fn = on_stop}, loop};
	struct ld_timers *ts = ld_loop_timers(loop);

	ld_timer_start(ts, &stop.timer, ld_loop_now(loop) + ms);
	ld_loop_run(loop);
	ld_timer_stop(ts, &stop.timer);
}

/* ---- Addresses ---- */

static bool
parse_address(const char *text, struct sockaddr_in *out)
{
	char host[32];
	const char *colon = strchr(text, ':');

	snprintf(host, sizeof(host), "%.*s", (int)(colon - text), text);
	*out = (struct sockaddr_in){
	    .sin_family = AF_INET,
	    .sin_port = htons((uint16_t)strtoul(colon + 1, NULL, 10)),
	};
	return inet_pton(AF_INET, host, &out->sin_addr) == 1;
}

void
ld_address_new(struct ld_session *s, char out[32])
{
	struct sockaddr_in sin;
	socklen_t len = sizeof(sin);
	char text[32];
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	snprintf(text, sizeof(text), "%s.%d:0", s->network, s->next_host++);
	parse_address(text, &sin);
	if (bind(fd, (struct sockaddr *)&sin, sizeof(sin)) != 0 ||
	    getsockname(fd, (struct sockaddr *)&sin, &len) != 0)
		abort();
	close(fd);
	snprintf(out, 32, "%.*s:%d", (int)(strlen(text) - 2), text,
	    ntohs(sin.sin_port));
}

static bool
connects(void *arg)
{
	struct sockaddr_in sin;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	bool ok;

	parse_address(arg, &sin);
	ok = connect(fd, (struct sockaddr *)&sin, sizeof(sin)) == 0;
	close(fd);
	return ok;
}

bool
ld_wait_listening(const char *address, uint64_t ms)
{
	return ld_wait_until(connects, (void *)(uintptr_t)address, ms);
}

/* ---- Processes ---- */

/* Programs are next to the folder of this test: build/faults/test_x. */
static void
program_path(const char *program, char *out, size_t max)
{
	char self[512];
	ssize_t n = readlink("/proc/self/exe", self, sizeof(self) - 1);

	self[n > 0 ? n : 0] = '\0';
	for (int up = 0; up < 2; up++) {
		char *slash = strrchr(self, '/');

		if (slash != NULL)
			*slash = '\0';
	}
	snprintf(out, max, "%s/%s", self, program);
}

/* With LD_OTHER_RELAY every second relay that is started is of another build. */
static void
relay_path(char *out, size_t max)
{
	const char *other = getenv("LD_OTHER_RELAY");
	static unsigned int started;

	if (other != NULL && started++ % 2 != 0)
		snprintf(out, max, "%s", other);
	else
		program_path(LD_RELAY_PROGRAM, out, max);
}

static void
run_child(struct ld_proc *p, const char *path, const char *const *argv)
{
	const char *full[ARGV_MAX] = {path};
	int log = open(p->log, O_WRONLY | O_CREAT | O_APPEND, 0600);
	int null = open("/dev/null", O_RDWR);
	/* Standard output of each process, for a failure that is to be
	 * traced. */
	const char *events = getenv("LD_RELAY_LOG");
	char events_path[256];
	int n = 1;

	for (; *argv != NULL && n < ARGV_MAX - 1; argv++)
		full[n++] = *argv;
	/* A killed test leaves no processes behind. */
	prctl(PR_SET_PDEATHSIG, SIGKILL);
	dup2(null, STDIN_FILENO);
	dup2(null, STDOUT_FILENO);
	if (events != NULL) {
		snprintf(
		    events_path, sizeof(events_path), "%s.%s", events, p->name);
		dup2(open(events_path, O_WRONLY | O_CREAT | O_APPEND, 0600),
		    STDOUT_FILENO);
	}
	dup2(log, STDERR_FILENO);
	execv(path, (char *const *)(uintptr_t)full);
	_exit(127);
}

void
ld_respawn(struct ld_session *s, struct ld_proc *p, const char *program,
    const char *const *argv)
{
	char path[600];

	if (strcmp(program, LD_RELAY_PROGRAM) == 0)
		relay_path(path, sizeof(path));
	else
		program_path(program, path, sizeof(path));
	fflush(stdout);
	p->pid = fork();
	if (p->pid == 0)
		run_child(p, path, argv);
	if (p->pid < 0)
		abort();
}

struct ld_proc *
ld_spawn(struct ld_session *s, const char *name, const char *program,
    const char *address, const char *const *argv)
{
	struct ld_proc *p = &s->procs[s->proc_count++];

	if (s->proc_count > LD_PROCS_MAX)
		abort();
	snprintf(p->name, sizeof(p->name), "%s", name);
	snprintf(p->address, sizeof(p->address), "%s", address);
	snprintf(p->log, sizeof(p->log), "%s/%s.log", s->dir, name);
	ld_alias(s, address, name);
	ld_respawn(s, p, program, argv);
	return p;
}

bool
ld_ended(struct ld_proc *p, int *status)
{
	if (p->pid == 0)
		return true;
	if (waitpid(p->pid, status, WNOHANG) != p->pid)
		return false;
	p->pid = 0;
	return true;
}

bool
ld_wait_end(struct ld_proc *p, uint64_t ms)
{
	uint64_t end = ld_now_ms() + ms;
	int status = -1;

	while (!ld_ended(p, &status)) {
		if (ld_now_ms() > end)
			return false;
		usleep(POLL_US);
	}
	return WIFEXITED(status) && WEXITSTATUS(status) == 0;
}

static void
send_signal(struct ld_proc *p, int sig)
{
	if (p->pid > 0)
		kill(p->pid, sig);
}

void
ld_kill(struct ld_proc *p)
{
	int status;

	if (p->pid <= 0)
		return;
	kill(p->pid, SIGKILL);
	waitpid(p->pid, &status, 0);
	p->pid = 0;
}

void
ld_freeze(struct ld_proc *p)
{
	send_signal(p, SIGSTOP);
}

void
ld_thaw(struct ld_proc *p)
{
	send_signal(p, SIGCONT);
}

void
ld_terminate(struct ld_proc *p)
{
	send_signal(p, SIGTERM);
}
