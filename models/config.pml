/* Acceptance and spread of the configuration (internal/version/config, internal/connection/peer).
 *
 * Two operators change the configuration by conditional update and push what they got accepted to one node that has a
 * configuration in force; a process that still starts would hold the version and tell nobody. Node 0 watches the
 * platform, node 1 is connected to node 0 and node 2 to node 1; a version goes both ways over a connection. One message
 * may arrive late. The platform has an outage that may last for good, a watch may miss changes, and nodes restart with
 * nothing kept.
 *
 * Checked: no accepted change is lost to a race; a version in force never falls; a process that restarts in an outage
 * starts with no less than the best of its peers; when nothing moves any more, every node has the accepted version.
 */
#define N 3
#define MAXRESTARTS 2
#ifdef ONE_BOOTSTRAP_PEER
#define BOOTSTRAP 1
#else
#define BOOTSTRAP 2
#endif

byte pv = 1;           /* version at the platform */
byte writes = 1;       /* writes that took effect */
bool up = true;
byte outages;
byte restarts;
byte gaps;
bool behind;           /* node 0 missed changes and must read */
byte position = 1;     /* up to here node 0 watched */

byte held[N];          /* highest version known */
bool ready[N];         /* held is in force */
byte best[N];          /* ghost: best version in force at the others when the node restarted */
byte answers[N];       /* peers that answered a starting node, one bit each */
byte late;             /* version of a message that is still on its way, 0 for none */
bool delayed;          /* a message was delayed */
bool forgotten;        /* ghost: the only process in force at a version restarted, or none could take a push */

inline take(i, v) {
	if
#ifdef TAKE_LOWER
	:: v != held[i] ->
#else
	:: v > held[i] ->
#endif
		assert(!ready[i] || v > held[i]);
		held[i] = v
	:: else
	fi
}

inline enterForce(i) {
	assert(held[i] >= best[i]);
	ready[i] = true;
	answers[i] = 0;
	best[i] = 0
}

proctype Operator() {
	byte read;
end_wait:
	atomic { up -> read = pv };
	/* An operator who lost the race is told so and stops. */
	atomic {
		if
#ifdef UNCONDITIONAL_WRITE
		:: up ->
#else
		:: up && read == pv ->
#endif
			pv = read + 1;
			writes++;
			assert(pv == writes)
		:: else -> goto done
		fi
	};
	/* The outage may begin here. */
	atomic {
		if
#ifdef NO_PUSH
		:: true
#else
		:: ready[0] -> take(0, read + 1)
		:: ready[1] -> take(1, read + 1)
		:: ready[2] -> take(2, read + 1)
		:: else -> forgotten = true
#endif
		fi;
		read = 0
	}
done:
	skip
}

proctype Platform() {
end:
	do
	:: atomic { up && outages < 1 -> up = false; outages++ }
	:: atomic { !up -> up = true }
	:: !up -> break      /* the outage lasts for good */
	od
}

proctype Node(byte i) {
	byte j;
end:
	do
	/* restart */
	:: atomic { ready[i] && restarts < MAXRESTARTS ->
		restarts++;
		best[i] = 0;
		j = 0;
		do
		:: j < N ->
			if :: j != i && ready[j] && held[j] > best[i] -> best[i] = held[j] :: else fi;
			j++
		:: else -> break
		od;
		if :: best[i] < held[i] -> forgotten = true :: else fi;
		j = 0; ready[i] = false; held[i] = 0; answers[i] = 0;
		/* A new process watches from now on, and must read what is in force. */
		if
		:: i == 0 ->
			position = pv;
#ifndef WATCH_WITHOUT_READ
			behind = true
#endif
		:: else
		fi
	}
	/* start with the platform */
	:: atomic { !ready[i] && up -> take(i, pv); enterForce(i) }
	/* start with peers */
	:: atomic { !ready[i] && !up && !(answers[i] & (1 << ((i + 1) % N))) &&
#ifdef UNREADY_ANSWERS
		true ->
#else
		ready[(i + 1) % N] ->
#endif
		answers[i] = answers[i] | (1 << ((i + 1) % N));
		if :: held[(i + 1) % N] > 0 -> take(i, held[(i + 1) % N]) :: else fi }
	:: atomic { !ready[i] && !up && !(answers[i] & (1 << ((i + 2) % N))) &&
#ifdef UNREADY_ANSWERS
		true ->
#else
		ready[(i + 2) % N] ->
#endif
		answers[i] = answers[i] | (1 << ((i + 2) % N));
		if :: held[(i + 2) % N] > 0 -> take(i, held[(i + 2) % N]) :: else fi }
	:: atomic { !ready[i] && !up && held[i] > 0 &&
		((answers[i] & 1) + ((answers[i] >> 1) & 1) + ((answers[i] >> 2) & 1)) >= BOOTSTRAP -> enterForce(i) }
	/* watch */
	:: atomic { i == 0 && ready[0] && up && !behind && position < pv ->
		position = pv;
		take(0, pv) }
	:: atomic { i == 0 && ready[0] && up && !behind && position < pv && gaps < 1 ->
		gaps++;
#ifdef GAP_WITHOUT_READ
		position = pv
#else
		behind = true
#endif
	}
	:: atomic { i == 0 && ready[0] && up && behind -> take(0, pv); position = pv; behind = false }
	/* tell a neighbour */
	:: atomic { ready[i] && i > 0 && held[i - 1] < held[i] -> take(i - 1, held[i]) }
	:: atomic { ready[i] && i < N - 1 && held[i + 1] < held[i] -> take(i + 1, held[i]) }
	/* one message of any node arrives late, at any node */
	:: atomic { ready[i] && !delayed -> delayed = true; late = held[i] }
	:: atomic { late > 0 -> take(i, late); late = 0 }
	od
}

init {
	byte i;
	atomic {
		do
		:: i < N -> held[i] = 1; ready[i] = true; run Node(i); i++
		:: else -> break
		od;
		run Platform();
		run Operator();
		run Operator()
	}
	/* Nothing moves any more. In an outage for good, a restart may have lost what only one node knew, and a process
	 * that restarted may wait for peers. */
	timeout;
	i = 0;
	do
	:: i < N ->
		assert(!up || ready[i]);
		assert(!ready[i] || held[i] == pv || (!up && forgotten));
		i++
	:: else -> break
	od
}
