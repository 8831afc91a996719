/* Starts a small mesh of the project's programs on loopback, with stand-ins for platform, targets and clients. */
#ifndef REVIEW_RIG_H
#define REVIEW_RIG_H

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

enum { RIG_HELD = 0, RIG_BROKEN = 1, RIG_NOT_RUN = 2 }; /* exit statuses of a case */

enum {
	PORT_FEED = 7620,
	PORT_METRICS = 7621,
	PORT_INBOUND = 8300,
	PORT_TARGET = 8301,
	PORT_READY = 8302,
	PORT_OUTBOUND = 8304,
	PORT_CONTROL = 8306,
	RIG_HEAD_BYTES = 16384,
	RIG_REPLICAS = 3,
	TARGET_CONNECTIONS = 512
};

/* A request or a response as read from a socket. */
typedef struct {
	char head[RIG_HEAD_BYTES]; /* start line and headers */
	int status;		   /* of a response; 0: none came */
	char method[16];
	char path[512];
	long length; /* of the body as announced; -1: until the end of the connection */
	char *body;  /* what has arrived of it, owned */
	size_t body_length;
	bool complete;
} message_t;

/* A target: one server on a sidecar machine. */
typedef struct target target_t;
struct target {
	int host; /* last number of the machine's address */
	char service[32];
	char id[32];
	int64_t born_ms;
	int slots;
	int work_ms;
	volatile int sequence;
	volatile bool draining;
	volatile bool beats;	       /* sends heartbeats */
	volatile int64_t next_beat_ms; /* when it sends the next one */
	bool runs_on;		       /* goes on with a request whose connection has been closed */
	/* Answers a request; returns false to close the connection.  NULL: target_answer(). */
	bool (*handle)(target_t *target, int fd, message_t *request, void *connection_data);
	int listener;
	int receive_buffer; /* of its sockets in bytes; 0: the system's */
	int running;
	int connections[TARGET_CONNECTIONS]; /* open ones; -1: none */
	pthread_mutex_t lock;
	pthread_cond_t free_slot;
	pthread_t accept_thread;
	pthread_t beat_thread;
};

/* Prepares the folder, the loopback network and the record; name is that of the case. */
void rig_init(void);
/* Returns whether the disruption is on: TROUBLE is not "0". */
bool rig_trouble(void);
/* Ends all processes, removes the folder and exits with a status. */
void rig_exit(int status) __attribute__((noreturn));
/* Writes a line to record.txt. */
void rig_record(const char *format, ...) __attribute__((format(printf, 1, 2)));
int64_t rig_now_ms(void);
void rig_sleep_ms(int ms);
/* Returns HOST:PORT of a machine, in a buffer of the calling thread. */
const char *rig_address(int host, int port);

/* Starts the control replicas, with empty disks, on the machines 1 to RIG_REPLICAS. */
void rig_start_control(void);
/* Starts, or starts again, the proxy of a sidecar machine; returns its pid. */
pid_t rig_start_proxy(int host, const char *service, const char *zone);
/* Sends a signal to a process that the rig started. */
void rig_signal(pid_t pid, int number);
/* Waits until a process has ended and returns its wait status; -1 when it still runs after the time. */
int rig_wait(pid_t pid, int timeout_ms);
/* Returns whether the proxy of a machine says that it is ready. */
bool rig_is_ready(int host);
/* Sends a complete configuration until it is accepted; exits with RIG_NOT_RUN when it is not. */
void rig_configure(const char *version, const char *base, const char *resources);
/* Waits until a call through a proxy is answered with 200. */
void rig_await_service(int host, const char *path);

/* Connects from a socket with a receive buffer (0: the system's); -1 on failure. */
int rig_connect(int host, int port, int receive_buffer, int timeout_ms);
bool rig_send(int fd, const void *data, size_t length);
/* Reads one message; with_body false: the head and what came with it.  False when the connection ends before. */
bool rig_read(int fd, message_t *message, bool with_body, bool is_response);
/* Copies the value of a header; false when it is absent. */
bool rig_header(const message_t *message, const char *name, char *value, size_t size);
void rig_message_clear(message_t *message);
/* Sends a request on a new connection and reads the answer; returns its status, 0 for none. */
int rig_call(int host, int port, const char *head, const void *body, size_t length, int timeout_ms,
	     message_t *answer);

/* Starts a target on a machine. */
target_t *target_start(int host, const char *service, int slots, int work_ms);
/* Sends one heartbeat, or a deregistration; returns whether it was acknowledged. */
bool target_send_beat(target_t *target, const char *state, int sequence);
bool target_deregister(target_t *target);
/* Answers a request as a sound server does. */
bool target_answer(target_t *target, int fd, message_t *request);
/* Ends a target as an exit of its process does: its port closes, and every connection is reset. */
void target_exit(target_t *target);
/* Answers a health check. */
bool target_answer_health(target_t *target, int fd);

#endif
