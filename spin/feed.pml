/*
 * The feed of configuration: staging, activation, restart without a disk,
 * stale parents and the floor.
 *
 * A source L commits entries; odd ones stage the content of a change, even
 * ones put it in force.  A control replica R may stop hearing the source, or
 * hear its stamps without its entries.  Two proxies pull from L, R or each
 * other, restart with nothing, and may be sent news that is damaged, repeated,
 * late, or meant for the process before.
 *
 * Properties: a proxy never uses a version below one its VM has used (checked
 * with FLOOR); it uses a version only with the whole content of every change up
 * to it; and once the source commits no more and proxies restart no more, both
 * use the last version for ever (CONVERGE, under weak fairness).
 *
 * A question for the floor has a number.  A node that passes questions on has
 * one of its own out at a time, and its answer settles those that had come
 * before it was asked.
 *
 * Mutations that must be refuted: NO_FLOOR (a started proxy uses what it has),
 * EARLY_ROUND (an answer settles questions that came after it was asked for),
 * OLD_STAMP (a node answers from what it knows), TAKE_CROSSED (an answer to
 * the process before settles the floor), TAKE_DAMAGED (damaged content is taken), and with
 * CONVERGE: NO_FRESHNESS (a stale parent is kept), STAMP_ALONE (a parent that
 * passes stamps without entries counts as fresh).  REACH_SECOND claims that no
 * restarted proxy uses the last version; it must be refuted, or the bounds
 * would be too small to say anything.
 */
#ifndef ENTRIES
#define ENTRIES 2	/* committed in a run */
#endif
#ifndef RESTARTS
#define RESTARTS 1	/* of each proxy */
#endif

#ifndef ROUNDS
#define ROUNDS 3	/* questions that one node asks in a run */
#endif
#define MOVES 1

/*
 * Checked apart, as together they have too many states: with FLOOR each entry
 * is a whole version and news is never damaged; without it the floor is known
 * at once, entries stage and activate by turns, and versions may go back.
 */
#ifdef FLOOR
#define VERSION(position) (position)
#define FLOOR_GIVEN false
#define FLOOR_MODEL true
#define MAY_DAMAGE(n) false
#define CHECK(n) assert(node[n].used >= node[n].highest)
#else
#define VERSION(position) ((position) / 2)
#define FLOOR_GIVEN true
#define FLOOR_MODEL false
#define MAY_DAMAGE(n) (node[n].parent != L)
#define CHECK(n) \
	assert(node[n].used < 1 || (node[n].content & 1)); \
	assert(node[n].used < 2 || (node[n].content & 2))
#endif

#define L 0
#define R 1
#define A 2
#define B 3
#define NODES 4
#define IS_PROXY(n) ((n) >= A)
#define OTHER(n) (A + B - (n))

#define WELL 0
#define ISOLATED 1	/* hears nothing of the source */
#define LAGGING 2	/* hears its stamps but not its entries */

typedef node_t {
	byte start;		/* number of this process of the VM, and of its question */
	byte position;		/* last entry held */
	byte content;		/* bit for each change held whole */
	byte used;		/* version in use; 0: none */
	byte highest;		/* version that any process of this VM has used */
	byte parent;
	bool known;		/* the floor is known */
	byte floor;
	byte round;		/* number of the question that is out; 0: none */
	byte last_round;
	byte asked[NODES];	/* number of the question that a child has open here; 0: none */
	byte covered[NODES]	/* those that the question out stands for */
};

/* News on its way to a proxy. */
typedef news_t {
	bool valid;
	bool damaged;
	byte start;		/* of the process that asked */
	byte first;		/* position it follows */
	byte last
};

/* An answer to a question on its way to a node. */
typedef answer_t {
	byte number;		/* 0: none */
	byte floor
};

node_t node[NODES];
news_t news[NODES];
answer_t answer[NODES];
byte replica_fault;

#define HELD_BY(n) (n == L -> node[L].position : node[n].position)

/* Fresh by stamps: there is a path of parents to the source without a fault. */
#define R_FRESH (replica_fault == WELL || (replica_fault == LAGGING))
#define DIRECT(n) (node[n].parent == L || (node[n].parent == R && R_FRESH))
#define FRESH(n) (DIRECT(n) || (IS_PROXY(node[n].parent) && DIRECT(OTHER(n))))

/* Behind: the source has committed more than the parent can give. */
#define NOTHING_MORE(n) (HELD_BY(node[n].parent) <= node[n].position && node[n].position < node[L].position)

/* Uses what is held, once that may be done, and checks it. */
inline use(n) {
	if
#ifdef NO_FLOOR
	:: VERSION(node[n].position) > 0 ->
#else
	:: VERSION(node[n].position) > 0 && node[n].known && node[n].position >= node[n].floor ->
#endif
		node[n].used = VERSION(node[n].position);
		CHECK(n);
		node[n].highest = node[n].used
	:: else -> skip
	fi
}

/* Forgets the question that is out; it is asked again of the next parent. */
inline forget_round(n) {
	node[n].round = 0;
	node[n].covered[A] = 0;
	node[n].covered[B] = 0
}

/* Takes the next parent in turn. */
inline leave(n) {
	if
	:: node[n].parent == L -> node[n].parent = R
	:: node[n].parent == R -> node[n].parent = OTHER(n)
	:: else -> node[n].parent = L
	fi;
	forget_round(n)
}

#define FITS(n) (news[n].start == node[n].start && news[n].first <= node[n].position && news[n].last > node[n].position)

/* Takes the news that is on its way, if it fits. */
inline take_news(n) {
	if
	:: !FITS(n) -> skip
#ifndef TAKE_DAMAGED
	:: FITS(n) && news[n].damaged -> leave(n)
	:: FITS(n) && !news[n].damaged ->
#else
	:: FITS(n) ->
#endif
		do
		:: node[n].position < news[n].last ->
			node[n].position++;
			if
			:: !FLOOR_MODEL && (node[n].position & 1) && !news[n].damaged ->
				node[n].content = node[n].content | (1 << VERSION(node[n].position))
			:: else -> skip
			fi
		:: else -> break
		od;
		use(n)
	fi
}

/* The news has arrived. */
inline forget_news(n) {
	news[n].valid = false;
	news[n].damaged = false;
	news[n].start = 0;
	news[n].first = 0;
	news[n].last = 0
}

/* Settles the open questions at a node by an answer that it has got. */
inline settle(n, child, value) {
	if
#ifdef EARLY_ROUND
	:: node[n].asked[child] != 0 && child != n ->
#else
	:: node[n].asked[child] != 0 && child != n && node[n].covered[child] == node[n].asked[child] ->
#endif
		answer[child].number = node[n].asked[child];
		answer[child].floor = value;
		node[n].asked[child] = 0
	:: else -> skip
	fi
}

/* Takes the answer that is on its way, if it is to the question that is out. */
inline take_answer(n) {
	if
#ifdef TAKE_CROSSED
	:: node[n].round != 0 ->
#else
	:: node[n].round != 0 && answer[n].number == node[n].round ->
#endif
		if
		:: IS_PROXY(n) && !node[n].known ->
			node[n].known = true;
			node[n].floor = answer[n].floor;
			use(n)
		:: else -> skip
		fi;
		settle(n, A, answer[n].floor);
		settle(n, B, answer[n].floor);
		forget_round(n)
	:: else -> skip
	fi;
	answer[n].number = 0;
	answer[n].floor = 0
}

/* Asks the parent, for itself and for the children whose questions are open. */
inline ask(n, up) {
	node[n].last_round++;
	node[n].round = node[n].last_round;
	node[n].covered[A] = node[n].asked[A];
	node[n].covered[B] = node[n].asked[B];
	node[up].asked[n] = node[n].round
}

#define WANTS(n) (node[n].last_round < ROUNDS && WISHES(n))
#define WISHES(n) ((IS_PROXY(n) && !node[n].known) || node[n].asked[A] != 0 || node[n].asked[B] != 0)

/* The source: commits, and answers each question by what is committed then. */
active proctype source() {
end:	do
	:: atomic { node[L].position < ENTRIES -> node[L].position++ }
	:: atomic { node[L].asked[A] != 0 && answer[A].number == 0 ->
		answer[A].number = node[L].asked[A]; answer[A].floor = node[L].position; node[L].asked[A] = 0 }
	:: atomic { node[L].asked[B] != 0 && answer[B].number == 0 ->
		answer[B].number = node[L].asked[B]; answer[B].floor = node[L].position; node[L].asked[B] = 0 }
	od
}

/* The replica asks the source when it is asked; the time between adds nothing to an answer's own way. */
#ifdef OLD_STAMP
#define REPLICA_ANSWERS true
#define REPLICA_FLOOR node[R].position
#else
#define REPLICA_ANSWERS (replica_fault == WELL)
#define REPLICA_FLOOR node[L].position
#endif

/* The control replica: follows the source until a fault, and passes questions on. */
active proctype replica() {
end:	do
	:: atomic { replica_fault == WELL && node[R].position < node[L].position -> node[R].position++ }
	:: atomic { replica_fault == WELL -> replica_fault = ISOLATED }
	:: atomic { !FLOOR_MODEL && replica_fault == WELL -> replica_fault = LAGGING }
	:: atomic { node[R].asked[A] != 0 && REPLICA_ANSWERS && answer[A].number == 0 ->
		answer[A].number = node[R].asked[A]; answer[A].floor = REPLICA_FLOOR; node[R].asked[A] = 0 }
	:: atomic { node[R].asked[B] != 0 && REPLICA_ANSWERS && answer[B].number == 0 ->
		answer[B].number = node[R].asked[B]; answer[B].floor = REPLICA_FLOOR; node[R].asked[B] = 0 }
	od
}

/* Makes a started process out of a proxy; what others hold of the one before stays on its way. */
inline restart(n) {
	node[n].start++;
	node[n].position = 0;
	node[n].content = 0;
	node[n].used = 0;
	node[n].known = FLOOR_GIVEN;
	node[n].floor = 0;
	node[n].asked[A] = 0;
	node[n].asked[B] = 0;
	forget_round(n);
	node[n].parent = L
}

/* A proxy: pulls, asks for the floor, leaves a stale parent, restarts. */
proctype proxy(byte n) {
	byte moves = 0;	/* from the source to the replica, for no reason seen here */

end:	do
	/* the parent sends what it has, whole or damaged */
	:: atomic { !news[n].valid && HELD_BY(node[n].parent) > node[n].position ->
		news[n].valid = true;
		news[n].start = node[n].start;
		news[n].first = node[n].position;
		news[n].last = HELD_BY(node[n].parent);
		if
		:: skip
		:: MAY_DAMAGE(n) -> news[n].damaged = true
		fi;
#ifndef LATE_NEWS
		take_news(n);
		forget_news(n)
#endif
		}
#ifdef LATE_NEWS
	/* news arrives, or is lost */
	:: atomic { news[n].valid -> take_news(n); forget_news(n) }
	:: atomic { news[n].valid && news[n].start != node[n].start -> forget_news(n) }
#endif
	:: atomic { node[n].round == 0 && WANTS(n) -> ask(n, node[n].parent) }
	:: atomic { answer[n].number != 0 -> take_answer(n) }
#ifndef NO_FRESHNESS
	:: atomic { !FRESH(n) -> leave(n) }
#ifndef STAMP_ALONE
	:: atomic { FRESH(n) && NOTHING_MORE(n) && node[n].parent != L -> leave(n) }
#endif
	:: atomic { WANTS(n) && node[n].round != 0 && node[n].parent != L && answer[n].number == 0 -> leave(n) }
#endif
	:: atomic { node[n].start <= RESTARTS -> restart(n) }
	:: atomic { moves < MOVES && node[n].parent == L -> moves++; node[n].parent = R; forget_round(n) }
	od
}

#ifdef CONVERGE
/* Keeps a run going in which nobody has anything left to do. */
active proctype idle() {
	bool turn;

	do
	:: turn = !turn
	od
}
#endif

/* One version is in use everywhere before anything happens. */
inline begin_in_use(n) {
	node[n].position = 1;
	node[n].used = 1;
	node[n].highest = 1;
	node[n].known = true
}

init {
	atomic {
#ifdef FLOOR
		node[L].position = 1;
		node[R].position = 1;
		begin_in_use(A);
		begin_in_use(B);
#else
		node[A].known = true;
		node[B].known = true;
#endif
		node[A].start = 1;
		node[B].start = 1;
		node[A].parent = L;
		node[B].parent = A;
		run proxy(A);
		run proxy(B)
	}
}

#define LAST VERSION(ENTRIES)
#ifdef REACH_SECOND
ltl reach { [] !(node[A].start == RESTARTS + 1 && node[A].used == LAST) }
#endif
#ifdef CONVERGE
ltl converge { <>[] (node[A].used == LAST && node[B].used == LAST) }
#endif
