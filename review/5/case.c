/*
 * A target deregisters, its proxy acknowledges that and is then killed and started again.  A heartbeat that the
 * target had sent before arrives late, after the restart.
 */
#include "rig.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
	HOST = 11,
	OTHER = 12,
	SLOTS = 12,
	WORK_MS = 50,
	CLIENTS = 2, /* at each of the two machines */
	PAUSE_MS = 20,
	DEADLINE_MS = 2000,
	DRAIN_MS = 2000,
	IN_TOUCH_MS = 3000,
	KILL_AFTER_MS = 300, /* of the acknowledgement */
	LATE_PING_MS = 2500, /* from when the heartbeat was sent until it arrives */
	SERVE_ON_MS = 10000  /* after the acknowledgement */
};

static const char resources[] =
	"{\"resource_kind\":\"routes\",\"metadata\":{\"name\":\"r-order\"},\"spec\":{\"host\":\"shop.example\","
	"\"path_prefix\":\"/order/\",\"kind\":\"unsafe\",\"timeout_s\":2,\"target_latency_s\":0.5,\"priority\":2,"
	"\"service\":\"counter\",\"max_attempts\":2}},"
	"{\"resource_kind\":\"services\",\"metadata\":{\"name\":\"counter\"},\"spec\":{\"health_path\":\"/health\","
	"\"max_connections\":110,\"protocol\":\"h1\",\"tls\":false}},"
	"{\"resource_kind\":\"limits\",\"metadata\":{},\"spec\":{\"max_header_bytes\":16384,"
	"\"max_body_bytes\":67108864,\"header_timeout_s\":3,\"idle_timeout_s\":15}}";

static volatile bool stopping;
static volatile int sent;
static volatile int64_t acknowledged_ms; /* 0: not yet */
static volatile int64_t started_ms;	 /* when the proxy was started again */
static volatile int late;		 /* requests after both bounds */
static volatile int lost;		 /* requests without an answer, or with one that promises nothing */

/* Counts the requests that reach the target later than the bounds allow. */
static bool handle(target_t *target, int fd, message_t *request, void *data)
{
	int64_t now_ms = rig_now_ms();
	char id[64] = "", expected[64] = "";

	(void)data;
	rig_header(request, "X-Request-Id", id, sizeof(id));
	rig_header(request, "X-Expect-Instance", expected, sizeof(expected));
	if (!strcmp(request->path, "/health")) {
		rig_record("target %d is asked for its health", target->host);
	} else if (!strcmp(expected, target->id) && acknowledged_ms && now_ms > acknowledged_ms + DRAIN_MS &&
		   now_ms > started_ms + IN_TOUCH_MS) {
		__sync_add_and_fetch(&late, 1);
		rig_record("%s reaches target %d %lld ms after the acknowledgement, %lld ms after the restart"
			   "  <-- later than drain_s",
			   id, target->host, (long long)(now_ms - acknowledged_ms),
			   (long long)(now_ms - started_ms));
	}
	return target_answer(target, fd, request);
}

static void *send_calls(void *data)
{
	int host = (int)(intptr_t)data;

	while (!stopping) {
		int number = __sync_add_and_fetch(&sent, 1);
		char head[256];
		message_t answer;
		int status;

		snprintf(head, sizeof(head),
			 "POST /order/%d HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: q%05d\r\n"
			 "X-Deadline-Ms: %d\r\nContent-Length: 0\r\n\r\n",
			 number, number, DEADLINE_MS);
		status = rig_call(host, PORT_OUTBOUND, head, "", 0, DEADLINE_MS + 500, &answer);
		rig_record("client at machine %d gets %d for q%05d", host, status, number);
		if (status != 200 && status != 503 && started_ms &&
		    rig_now_ms() > started_ms + IN_TOUCH_MS)
			__sync_add_and_fetch(&lost, 1);
		rig_message_clear(&answer);
		rig_sleep_ms(status == 200 ? PAUSE_MS : 200);
	}
	return NULL;
}

int main(void)
{
	pthread_t clients[2 * CLIENTS];
	target_t *target;
	pid_t proxy;
	int64_t ping_ms;
	int ping;

	rig_init();
	rig_start_control();
	target = target_start(HOST, "counter", SLOTS, WORK_MS);
	target->handle = handle;
	target_start(OTHER, "counter", SLOTS, WORK_MS);
	proxy = rig_start_proxy(HOST, "counter", "z1");
	rig_start_proxy(OTHER, "counter", "z2");
	rig_configure("00000001", "00000000", resources);
	rig_await_service(HOST, "/order/a");
	rig_await_service(OTHER, "/order/a");
	for (int i = 0; i < 2 * CLIENTS; i++)
		pthread_create(&clients[i], NULL, send_calls, (void *)(intptr_t)(i % 2 ? OTHER : HOST));
	rig_sleep_ms(4000);

	/* The heartbeat that will be late is the last before the deregistration. */
	target->beats = false;
	ping = __sync_add_and_fetch(&target->sequence, 1);
	ping_ms = rig_now_ms();
	rig_record("target %d sends heartbeat %d, ready, which is delayed", HOST, ping);
	rig_sleep_ms(100);
	target->draining = true;
	if (!target_deregister(target))
		rig_exit(RIG_NOT_RUN);
	acknowledged_ms = rig_now_ms();
	rig_record("the deregistration of target %d is acknowledged", HOST);
	rig_sleep_ms(KILL_AFTER_MS);
	if (rig_trouble()) {
		rig_record("the proxy of machine %d is killed and started again", HOST);
		rig_signal(proxy, SIGKILL);
		rig_wait(proxy, 2000);
		rig_sleep_ms(500);
		rig_start_proxy(HOST, "counter", "z1");
		started_ms = rig_now_ms();
		while (rig_now_ms() < ping_ms + LATE_PING_MS)
			rig_sleep_ms(5);
		rig_record("heartbeat %d arrives, %lld ms late: %s", ping,
			   (long long)(rig_now_ms() - ping_ms),
			   target_send_beat(target, "ready", ping) ? "acknowledged" : "not acknowledged");
	}
	while (rig_now_ms() < acknowledged_ms + SERVE_ON_MS)
		rig_sleep_ms(20);
	target_exit(target);
	rig_sleep_ms(DEADLINE_MS + 500);
	stopping = true;
	for (int i = 0; i < 2 * CLIENTS; i++)
		pthread_join(clients[i], NULL);
	rig_record("%d requests sent, %d reached target %d later than %d ms after the acknowledgement, %d lost",
		   sent, late, HOST, DRAIN_MS, lost);
	rig_exit(late ? RIG_BROKEN : RIG_HELD);
}
