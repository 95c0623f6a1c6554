/* A store that is restored from a copy (internal/version/registry, platform/era.go).
 *
 * An operator writes versions of the configuration, and others write other objects of the store. The store is copied at some time and later
 * restored from the copy, up to twice: what was written since is gone, its revisions are given out again, and the era rises by one. The
 * operator then writes again what was lost. A gateway lists the configuration and watches it from a revision. A watch from a revision above
 * the present one, or below the restored one, is answered with a gap.
 *
 * Checked: the version in force at the gateway never decreases; when no step is possible any more, the gateway has the last version that the
 * operator wrote.
 */
#define VERSIONS 3
#define MAXOTHERS 3
#define MAXRESTORES 2
#ifdef COMPARE_NUMBERS
#define LISTED_LATER (revision >= position)
#define SAME_ERA true
#else
#define LISTED_LATER (era > positionEra || revision >= position)
#ifdef WATCH_ACROSS_ERAS
#define SAME_ERA true
#else
#define SAME_ERA (era == positionEra)
#endif
#endif

byte revision = 1;
byte version;          /* version of the configuration that the store has */
byte written;          /* revision of that version */
byte era;
byte oldest;           /* revision from which a watch can go on */
byte acknowledged;     /* last version that the operator wrote */
bool copied;
byte copyRevision;
byte copyVersion;
byte copyWritten;
byte restores;
byte others;

byte inForce;          /* version in force at the gateway */
bool listed;
byte position;         /* revision from which the gateway watches, and its era */
byte positionEra;

inline take(v) {
	if
#ifdef TAKE_LOWER
	:: v > 0 -> assert(v >= inForce); inForce = v
#else
	:: v > inForce -> inForce = v
#endif
	:: else
	fi
}

proctype Operator() {
end:
	do
	:: atomic { acknowledged < VERSIONS && version == acknowledged ->
		revision++; acknowledged++; version = acknowledged; written = revision }
	:: atomic { version < acknowledged -> revision++; version = acknowledged; written = revision }
	od
}

proctype Others() {
end:
	do
	:: atomic { others < MAXOTHERS -> others++; revision++ }
	od
}

proctype Store() {
end:
	do
	:: atomic { !copied && restores < MAXRESTORES ->
		copied = true; copyRevision = revision; copyVersion = version; copyWritten = written }
	:: atomic { copied ->
		copied = false; restores++; era++;
		revision = copyRevision; version = copyVersion; written = copyWritten; oldest = copyRevision }
	od
}

proctype Gateway() {
end:
	do
	:: atomic { !listed && LISTED_LATER ->
		listed = true; position = revision; positionEra = era; take(version) }
	:: atomic { listed && (position > revision || position < oldest || !SAME_ERA) -> listed = false }
	:: atomic { listed && position >= oldest && position < revision && SAME_ERA ->
		if :: written > position -> take(version) :: else fi;
		position = revision }
	od
}

proctype Monitor() {
	timeout -> assert(inForce == acknowledged)
}

init {
	atomic { run Operator(); run Others(); run Store(); run Gateway(); run Monitor() }
}
