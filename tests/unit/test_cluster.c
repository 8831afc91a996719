/* Reservation of ports for a cluster of separate processes. */
#include <arpa/inet.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "cluster.h"
#include "script.h"

/* Enough to detect missing reservation: 500 random ports of 16,000 contain 9 equal pairs on average. */
enum { PORTS = 500 };

/* No port is returned twice, and another socket can listen on each. */
START_TEST(test_reserved_ports)
{
	cluster_t *cluster = cluster_new();
	g_autoptr(GHashTable) reserved = g_hash_table_new(NULL, NULL);

	for (int i = 0; i < PORTS; i++) {
		int port = cluster_reserve_port(cluster);
		struct sockaddr_in address = {.sin_family = AF_INET,
					      .sin_port = htons((uint16_t)port),
					      .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
		int fd = socket(AF_INET, SOCK_STREAM, 0);
		int one = 1;

		ck_assert_msg(g_hash_table_add(reserved, GINT_TO_POINTER(port)), "port %d returned twice",
			      port);
		ck_assert_int_eq(setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one)), 0);
		ck_assert_int_eq(bind(fd, (struct sockaddr *)&address, sizeof(address)), 0);
		ck_assert_int_eq(listen(fd, 1), 0);
		close(fd);
	}
	cluster_free(cluster);
}
END_TEST

/* Runs the tests; returns the exit status of the program. */
int main(void)
{
	Suite *suite = suite_create("cluster");
	TCase *tcase = tcase_create("ports");

	tcase_add_test(tcase, test_reserved_ports);
	suite_add_tcase(suite, tcase);
	return script_run_suite(suite);
}
