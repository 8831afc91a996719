/*
 * The replicated log with crash, lost disk and readmission.
 *
 * Three replicas.  A message in flight may be lost, repeated, delayed and
 * overtaken: a grant is counted at any later time, and whoever leads a term
 * may be heard of in that term for ever after.  A lost disk gives the replica
 * a new incarnation, which has no vote until one entry has removed the old
 * incarnation and another has added the new one.
 *
 * Properties: one leader a term; a leader holds every entry committed in an
 * earlier term; no two entries are committed at one index.
 *
 * Mutations that must be refuted: DROP_READMIT (an empty disk keeps its
 * identity and its vote), ONE_STEP_REPLACE (one entry exchanges the
 * incarnations), FORGET_VOTE (the vote is lost in a crash).  REACH_READMITTED
 * claims that nobody is elected after every lost disk was readmitted; it must
 * be refuted, or the bounds would be too small to say anything.
 */
#ifndef TERMS
#define TERMS 3		/* highest term */
#endif
#ifndef ENTRIES
#define ENTRIES 4	/* longest log */
#endif
#ifndef LOSSES
#define LOSSES 1	/* disks lost in one run */
#endif
#ifndef VALUES
#define VALUES 1	/* entries of clients, besides those that open terms and change the membership */
#endif
#define N 3

/* An entry is its term and what it does: nothing, remove a slot, add its second incarnation, exchange. */
#define NOTHING 0
#define REMOVE 1
#define ADD 4
#define EXCHANGE 7
#define KINDS 10
#define TERM_OF(e) ((e) / KINDS)
#define KIND_OF(e) ((e) % KINDS)

#define FOLLOWER 0
#define CANDIDATE 1
#define LEADER 2

typedef replica_t {
	byte incarnation;	/* 1, or 2 after its disk was lost */
	byte term;
	byte voted;		/* slot + 1; 0: free */
	byte length;
	byte log[ENTRIES];
	byte role;
	byte grants;		/* bit per slot */
	byte commit		/* as this leader knows */
};

typedef term_t {
	byte leader;		/* slot + 1; 0: none so far */
	byte length;
	byte log[ENTRIES];	/* of its leader, for messages in flight */
	byte match[6]		/* acknowledged, by slot and incarnation */
};

replica_t r[N];
term_t lead[TERMS + 1];
byte committed[ENTRIES];	/* entry, 0: none */
byte committed_term[ENTRIES];	/* in which it was committed first */
byte losses;
byte values;

/* Scratch of the step in progress. */
hidden byte i, j, members, count, last, other, kind;
hidden byte conf[N];		/* incarnation with a vote, 0: none */
hidden byte ok;

/* Takes one entry into account in the membership. */
inline apply_conf(entry)
{
	kind = KIND_OF(entry);
	if
	:: kind >= REMOVE && kind < ADD -> conf[kind - REMOVE] = 0
	:: kind >= ADD && kind < EXCHANGE -> conf[kind - ADD] = 2
	:: kind >= EXCHANGE -> conf[kind - EXCHANGE] = 2
	:: else
	fi
}

/* Reads the membership that follows from the whole log of a replica. */
inline read_conf(s)
{
	conf[0] = 1; conf[1] = 1; conf[2] = 1;
	i = 0;
	do
	:: i < r[s].length -> apply_conf(r[s].log[i]); i++
	:: else -> break
	od;
	members = (conf[0] > 0) + (conf[1] > 0) + (conf[2] > 0)
}

/* Reads the newest committed membership. */
inline read_committed_conf()
{
	conf[0] = 1; conf[1] = 1; conf[2] = 1;
	i = 0;
	do
	:: i < ENTRIES -> apply_conf(committed[i]); i++
	:: else -> break
	od;
	members = (conf[0] > 0) + (conf[1] > 0) + (conf[2] > 0)
}

/* Votes for itself in a new term. */
inline stand(s)
{
	r[s].term++;
	r[s].voted = s + 1;
	r[s].role = CANDIDATE;
	r[s].grants = 1 << s
}

/* Ends what s did as candidate or leader; nobody counts what is acknowledged to it any more. */
inline step_back(s)
{
	if
	:: r[s].role == LEADER ->
		j = 0;
		do
		:: j < 6 -> lead[r[s].term].match[j] = 0; j++
		:: else -> break
		od
	:: else
	fi;
	r[s].role = FOLLOWER;
	r[s].grants = 0;
	r[s].commit = 0
}

#define LAST_TERM(s) (r[s].length == 0 -> 0 : TERM_OF(r[s].log[r[s].length - 1]))

/* v may vote for candidate c: the request names v's incarnation, and c's log is not behind. */
inline grant(v, c)
{
	read_conf(c);
	ok = conf[v] == r[v].incarnation && r[c].role == CANDIDATE && v != c;
	ok = ok && (r[v].term < r[c].term || (r[v].term == r[c].term && (r[v].voted == 0 || r[v].voted == c + 1)));
	ok = ok && (LAST_TERM(c) > LAST_TERM(v) || (LAST_TERM(c) == LAST_TERM(v) && r[c].length >= r[v].length));
	if
	:: ok ->
		if
		:: r[v].term < r[c].term -> step_back(v)
		:: else
		fi;
		r[v].term = r[c].term;
		r[v].voted = c + 1;
		r[c].grants = r[c].grants | (1 << v)
	:: else
	fi
}

/* Copies the leader's log for messages in flight. */
inline publish(s)
{
	i = 0;
	do
	:: i < r[s].length -> lead[r[s].term].log[i] = r[s].log[i]; i++
	:: else -> break
	od;
	lead[r[s].term].length = r[s].length
}

inline append(s, what)
{
	r[s].log[r[s].length] = r[s].term * KINDS + what;
	r[s].length++;
	publish(s)
}

/* Leads, if a quorum of its own membership has granted; opens the term with an entry. */
inline win(s)
{
	read_conf(s);
	count = 0;
	i = 0;
	do
	:: i < N -> count = count + (conf[i] > 0 && (r[s].grants & (1 << i))); i++
	:: else -> break
	od;
	if
	:: count * 2 > members && r[s].length < ENTRIES ->
#ifdef REACH_READMITTED
		assert(conf[0] + conf[1] + conf[2] < N + LOSSES);
#endif
		assert(lead[r[s].term].leader == 0);
		lead[r[s].term].leader = s + 1;
		i = 0;
		do
		:: i < ENTRIES ->
			if
			:: committed[i] && committed_term[i] < r[s].term ->
				assert(i < r[s].length && r[s].log[i] == committed[i])
			:: else
			fi;
			i++
		:: else -> break
		od;
		r[s].role = LEADER;
		r[s].grants = 0;
		r[s].commit = 0;
		append(s, NOTHING)
	:: else
	fi
}

/* v receives the first n entries of the leader of term t. */
inline receive(v, t, n)
{
	ok = lead[t].leader && lead[t].leader != v + 1 && t >= r[v].term && n <= lead[t].length;
	if
	:: ok ->
		if
		:: t > r[v].term -> r[v].voted = 0
		:: else
		fi;
		step_back(v);
		r[v].term = t;
		i = 0;
		do
		:: i < n ->
			if
			:: i < r[v].length && r[v].log[i] != lead[t].log[i] ->
				j = i;
				do
				:: j < r[v].length -> r[v].log[j] = 0; j++
				:: else -> break
				od;
				r[v].length = i
			:: else
			fi;
			if
			:: i >= r[v].length -> r[v].log[i] = lead[t].log[i]; r[v].length = i + 1
			:: else
			fi;
			i++
		:: else -> break
		od;
		j = v * 2 + r[v].incarnation - 1;
		if
		:: lead[t].match[j] < n && r[lead[t].leader - 1].role == LEADER && r[lead[t].leader - 1].term == t ->
			lead[t].match[j] = n
		:: else
		fi
	:: else
	fi
}

/* Commits up to length n if a quorum of the newest membership holds it and the last entry is of this term. */
inline commit_up_to(s, n)
{
	read_conf(s);
	count = 0;
	i = 0;
	do
	:: i < N ->
		if
		:: i == s -> count = count + (conf[i] == r[s].incarnation)
		:: else -> count = count + (conf[i] > 0 && lead[r[s].term].match[i * 2 + conf[i] - 1] >= n)
		fi;
		i++
	:: else -> break
	od;
	ok = count * 2 > members && TERM_OF(r[s].log[n - 1]) == r[s].term && r[s].commit < n;
	if
	:: ok ->
		r[s].commit = n;
		i = 0;
		do
		:: i < n ->
			assert(committed[i] == 0 || committed[i] == r[s].log[i]);
			if
			:: committed[i] == 0 -> committed[i] = r[s].log[i]; committed_term[i] = r[s].term
			:: else
			fi;
			i++
		:: else -> break
		od
	:: else
	fi
}

/* Makes the next step towards readmitting slot o, whose new incarnation holds all that is committed. */
inline readmit(s, o)
{
	read_conf(s);
	last = 0;
	i = 0;
	do
	:: i < r[s].length ->
		if
		:: KIND_OF(r[s].log[i]) != NOTHING -> last = i + 1
		:: else
		fi;
		i++
	:: else -> break
	od;
	ok = r[s].commit > 0 && TERM_OF(r[s].log[r[s].commit - 1]) == r[s].term && r[s].commit >= last;
	ok = ok && o != s && conf[o] != 2 && lead[r[s].term].match[o * 2 + 1] >= r[s].commit && r[s].length < ENTRIES;
	if
	:: !ok
#ifdef ONE_STEP_REPLACE
	:: ok -> append(s, EXCHANGE + o)
#else
	:: ok && conf[o] == 1 -> append(s, REMOVE + o)
	:: ok && conf[o] == 0 -> append(s, ADD + o)
#endif
	fi
}

/* Loses the disk of s, unless that leaves no quorum of intact disks in the newest committed membership. */
inline lose(s)
{
	read_committed_conf();
	count = 0;
	i = 0;
	do
	:: i < N -> count = count + (i != s && conf[i] > 0 && conf[i] == r[i].incarnation); i++
	:: else -> break
	od;
	if
	:: count * 2 > members && r[s].incarnation == 1 && losses < LOSSES ->
		losses++;
#ifndef DROP_READMIT
		r[s].incarnation = 2;
#endif
		step_back(s);
		r[s].term = 0;
		r[s].voted = 0;
		i = 0;
		do
		:: i < ENTRIES -> r[s].log[i] = 0; i++
		:: else -> break
		od;
		r[s].length = 0
	:: else
	fi
}

/* Ends a process; its disk stays. */
inline crash(s)
{
#ifdef FORGET_VOTE
	r[s].voted = 0;
#endif
	step_back(s)
}

/* The replicas are alike before the first election, which may therefore be that of slot 0. */
#define STARTED (losses || r[0].term || r[1].term || r[2].term)

/* Whether s has a vote by its own log. */
inline may_stand(s)
{
	read_conf(s);
	ok = (s == 0 || STARTED) && conf[s] == r[s].incarnation && r[s].term < TERMS && r[s].role != LEADER
}

active proctype world()
{
	byte s, o, n, t;

	d_step {
		r[0].incarnation = 1; r[1].incarnation = 1; r[2].incarnation = 1
	}
	do
	:: atomic {
		select(s : 0 .. 2);
		if
		:: d_step { may_stand(s); if :: ok -> stand(s) :: else fi; skip }
		:: r[s].role == CANDIDATE -> d_step { win(s); skip }
		:: r[s].role == LEADER && r[s].length < ENTRIES && values < VALUES ->
			d_step { values++; append(s, NOTHING); skip }
		:: r[s].role == LEADER ->
			select(n : 1 .. ENTRIES);
			if
			:: n <= r[s].length -> d_step { commit_up_to(s, n); skip }
			:: else
			fi
		:: d_step { crash(s); skip }
		:: losses < LOSSES && STARTED -> d_step { lose(s); skip }
		:: select(o : 0 .. 2);
			if
			:: r[s].role == LEADER -> d_step { readmit(s, o); skip }
			:: r[o].role == CANDIDATE -> d_step { grant(s, o); skip }
			:: else
			fi
		:: select(t : 1 .. TERMS);
			if
			:: lead[t].leader ->
				select(n : 1 .. ENTRIES);
				d_step { receive(s, t, n); skip }
			:: else
			fi
		fi;
		s = 0; o = 0; n = 0; t = 0
	}
	od
}
