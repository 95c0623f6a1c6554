/*
 * The claim log of one shard, for one order. Package claim decides the steps and package order executes them. The steps
 * are named after the Go code: Takeover, Claim, Send, Complete, Abandon.
 *
 * The platform stores one object, the last segment of the shard: its version, the term, the incarnation that owns the
 * shard, and the state of the order according to its records. A conditional update either takes effect or fails; if its
 * response is lost, it takes effect immediately, later or never. Attempts of callers arrive at any owner at any time. An
 * owner may pause between any two steps and may restart. Operators may move ownership at any time, so any owner may take
 * over the shard.
 *
 * Checked: the order runs at most once; an attempt that was answered with "not run" never runs afterwards; a completed
 * result is never replaced.
 *
 * Not modelled: sealing and expiry of segments, several orders in one update, different bodies under the same key.
 */
#define OWNERS 2	/* each restart adds an incarnation */
#define ATTEMPTS 3
#define TAKEOVERS 4
#define RESTARTS 1
#define NONCES ATTEMPTS	/* claims, numbered from 0 */

#define NONE 0
#define CLAIMED 1
#define ABANDONED 2
#define COMPLETED 3

#define OK 0
#define CONFLICT 1
#define LOST 2

typedef Log {
	byte version;
	byte term;
	byte owner;	/* incarnation */
	byte state;
	byte nonce;	/* of the last record */
	byte by;	/* incarnation that wrote the claim with this nonce */
}

Log stored;
Log late[OWNERS];	/* writes that may still take effect; version is the expected one, 255 for no write */
byte attempts = ATTEMPTS;
byte takeovers = TAKEOVERS;
byte restarts = RESTARTS;
byte nonces = 0;
byte incarnations = 0;
byte runs = 0;
bool told[NONCES];	/* ghost: the attempt with this claim was refused with "not run" */

inline copy(to, from) {
	to.version = from.version; to.term = from.term; to.owner = from.owner;
	to.state = from.state; to.nonce = from.nonce; to.by = from.by
}

/* forget clears a log that is not read again, which merges states that differ only in it. */
inline forget(l) {
	l.term = 0; l.owner = 0; l.state = NONE; l.nonce = 0; l.by = 0
}

/* apply stores w, whose expected version matches. */
inline apply(w) {
	assert(!(stored.state == COMPLETED && w.state != COMPLETED));
	stored.term = w.term; stored.owner = w.owner; stored.state = w.state;
	stored.nonce = w.nonce; stored.by = w.by;
	stored.version = stored.version + 1;
	/* The version that the other outstanding writes expect no longer exists, so they can never take effect. */
	late[0].version = 255; forget(late[0]); late[1].version = 255; forget(late[1])
}

/* put attempts the write w. After LOST, it has taken effect, takes effect later or never does. After OK, known is the stored log. */
inline put() {
	if
#ifdef NO_FENCE
	:: true -> apply(w); result = OK; copy(known, stored)
#else
	:: w.version == stored.version -> apply(w); result = OK; copy(known, stored)
	:: w.version != stored.version -> result = CONFLICT
#endif
	:: w.version == stored.version -> apply(w); result = LOST
	:: late[id].version == 255 && w.version == stored.version -> copy(late[id], w); result = LOST
	:: late[id].version != 255 -> result = LOST
	fi;
	w.version = 0; forget(w)
}

/* settle reads the segment again. It sets standing and, if the segment has changed, known. */
#define PENDING 0
#define OWNING 1
#define FENCED 2
inline settle() {
	if
	:: stored.version == known.version -> standing = PENDING
	:: stored.version != known.version && stored.term == known.term && stored.owner == me ->
		standing = OWNING; copy(known, stored)
	:: else -> standing = FENCED; owned = false; copy(known, stored)
	fi
}

proctype Owner(byte id) {
	byte me;
	bool owned = false;
	bool unsent[NONCES];	/* claims of this incarnation whose order was certainly not sent */
	Log known;
	Log w;
	byte n = 0;
	byte result;
	byte standing;

start:
	atomic { incarnations++; me = incarnations }
idle:
	true;	/* a jump from one atomic block into another would allow no interleaving between them */
endidle:
	do
	:: atomic { !owned && attempts > 0 && takeovers > 0 ->
		takeovers--;
#ifdef NO_LOAD
		known.version = stored.version; known.term = stored.term; known.owner = stored.owner
#else
		copy(known, stored)
#endif
		}
		goto Takeover
	:: atomic { owned && attempts > 0 && (known.state == NONE || known.state == ABANDONED) ->
		attempts--; nonces++; n = nonces - 1 }
		goto Claim
	:: atomic { owned && known.state == CLAIMED && known.by == me && unsent[known.nonce] -> n = known.nonce }
		goto Abandon
#ifdef NO_CERTAINTY
	:: atomic { owned && known.state == CLAIMED && known.by == me -> n = known.nonce }
		goto Abandon
#endif
#ifdef NO_OWN_NONCE
	:: atomic { owned && attempts > 0 && known.state == CLAIMED && known.by != me -> attempts--; n = known.nonce }
		goto Send
#endif
	/* Attempts that find another claim are answered with "unknown", those that find a result with the result. Neither
	 * changes the state. */
	:: atomic { restarts > 0 ->
		restarts--; owned = false; known.version = 0; forget(known); n = 0;
		unsent[0] = false; unsent[1] = false; unsent[2] = false }
		goto start
	:: atomic { attempts == 0 && !owned -> goto done }
	:: atomic { attempts == 0 && owned && !(known.state == CLAIMED && known.by == me && unsent[known.nonce]) -> goto done }
	od;

Takeover:
	true;
	atomic {
		copy(w, known); w.term = known.term + 1; w.owner = me;
		put();
		if
		:: result == OK -> owned = true; result = OK; goto idle
		:: result == CONFLICT -> known.version = 0; forget(known); result = OK; goto idle
		:: result == LOST -> result = OK
		fi
	}
	true;
	/* No other incarnation writes this one as the owner, so the takeover succeeded if the stored term and owner match. */
	atomic {
		if
		:: stored.term == known.term + 1 && stored.owner == me -> copy(known, stored); owned = true
		:: else -> known.version = 0; forget(known)
		fi;
		goto idle
	}

Claim:
	true;
	atomic {
		copy(w, known); w.state = CLAIMED; w.nonce = n; w.by = me;
		put();
		if
		:: result == OK -> goto Deadline
#ifdef NO_REREAD
		:: result == LOST -> result = OK; goto Deadline
		:: result == CONFLICT -> result = OK; told[n] = true; n = 0; owned = false; known.version = 0; forget(known); goto idle
#else
		:: result != OK -> result = OK
#endif
		fi
	}
	true;
	atomic {
		if
		/* The platform cannot be reached for the second read. */
		:: unsent[n] = true; told[n] = true; n = 0; goto idle
		:: true -> settle();	/* without the guard, the else in settle would belong to the outer selection */
			if
			:: standing == PENDING -> standing = 0; unsent[n] = true; told[n] = true; n = 0; goto idle
#ifdef NO_NONCE_MATCH
			:: standing == OWNING -> standing = 0; goto Deadline
#else
			:: standing == OWNING && known.state == CLAIMED && known.nonce == n -> standing = 0; goto Deadline
			:: standing == OWNING && !(known.state == CLAIMED && known.nonce == n) ->
				standing = 0; told[n] = true; n = 0; goto idle
#endif
			:: standing == FENCED && known.state == CLAIMED && known.nonce == n ->
				standing = 0; known.version = 0; forget(known); goto Deadline
			:: standing == FENCED && !(known.state == CLAIMED && known.nonce == n) ->
				standing = 0; known.version = 0; forget(known); told[n] = true; n = 0; goto idle
			fi
		fi
	}

Deadline:
	true;
	atomic {
		if
		:: goto Send
		/* The deadline has passed, or the service is not connected. */
		:: unsent[n] = true; told[n] = true;
#ifdef NO_DEADLINE
			goto Send
#else
			n = 0; goto idle
#endif
		/* The process exits before the send and loses its state of this claim. */
		:: n = 0; goto idle
		fi
	}

Send:
	true;
	atomic {
		runs++;
		assert(runs <= 1);
		assert(!told[n]);
		if
		:: goto Complete
		/* The response of the service is lost: the attempt is answered with "unknown". */
		:: n = 0; goto idle
		fi
	}

Complete:
	true;
	atomic {
		if
		:: owned && known.state == CLAIMED && known.nonce == n ->
			copy(w, known); w.state = COMPLETED;
			put();
			if
			:: result == OK -> n = 0; goto idle
			:: result != OK -> result = OK
			fi
		:: else -> n = 0; goto idle
		fi
	}
	true;
	atomic {
		if
		:: true -> settle();	/* without the guard, the else in settle would belong to the outer selection */
			if
			:: standing == PENDING -> standing = 0; goto Complete
			:: standing == OWNING -> standing = 0; n = 0; goto idle
			:: standing == FENCED -> standing = 0; n = 0; known.version = 0; forget(known); goto idle
			fi
		/* The process exits before the record is durable. */
		:: n = 0; goto idle
		fi
	}

Abandon:
	true;
	atomic {
		copy(w, known); w.state = ABANDONED;
		put();
		if
		:: result == OK -> n = 0; goto idle
		:: result != OK -> result = OK
		fi
	}
	true;
	atomic {
		settle();
		if
		:: standing == FENCED -> known.version = 0; forget(known)
		:: else
		fi;
		standing = 0; n = 0;
		goto idle
	}

done:
	skip
}

/*
 * Late makes writes whose response was lost take effect later. A write that it never selects never takes effect. The version
 * that an outstanding write expects is always the stored one, because apply removes all other writes.
 */
proctype Late() {
end:
	do
	:: atomic { late[0].version != 255 -> apply(late[0]) }
	:: atomic { late[1].version != 255 -> apply(late[1]) }
	od
}

init {
	atomic {
		late[0].version = 255; late[1].version = 255;
		run Owner(0); run Owner(1); run Late()
	}
}
