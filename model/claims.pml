/*
 * At most once (docs/design.md, section 5): several instances serve calls with one key over a table
 * whose requests and answers can be lost or late. docs/model.md maps the steps to the code.
 *
 * Any interleaving is a pause: an instance may stop between any two steps for any time.
 * -DONLY_RUNS leaves out the invariant on not-run, so that a mutant meets the one on runs.
 * Mutants are chosen with -DNO_CLAIM, -DLEASE, -DDELETE_ANY, -DLOST_IS_GRANTED or -DGUESS_NOT_RUN.
 */

#define INSTANCES 2
#define CALLS 3       /* calls with the key, over all instances */
#define CRASHES 1
#define LATE 2        /* requests that are late at the same time */
#define SETTLE 1      /* times that a release is tried again */

mtype = { NONE, INSERT, UPDATE, DELETE };           /* requests */
mtype = { APPLIED, FAILED, UNAVAILABLE, UNKNOWN };  /* replies */

/* The row of the key. A revision never comes twice. */
byte rowClaim = 0;       /* 0: no row */
bool rowAnswered = false;
byte rowRevision = 0;
byte lastRevision = 0;

/* Requests whose senders gave up and which can still take effect. */
mtype lateOp[LATE] = NONE;
byte lateClaim[LATE];
byte lateRevision[LATE];

byte lastClaim = 0;
byte crashes = 0;
byte runs = 0;           /* calls with the key that ran at an upstream */

inline apply(op, claim, revision, reply)
{
  if
  :: op == INSERT && rowClaim == 0 ->
     lastRevision++;
     rowClaim = claim; rowAnswered = false; rowRevision = lastRevision;
     reply = APPLIED
  :: op == UPDATE && rowClaim != 0 && rowRevision == revision ->
     lastRevision++;
     rowAnswered = true; rowRevision = lastRevision;
     reply = APPLIED
#ifdef DELETE_ANY
  :: op == DELETE && rowClaim != 0 ->
#else
  :: op == DELETE && rowClaim != 0 && rowRevision == revision ->
#endif
     rowClaim = 0; rowAnswered = false; rowRevision = 0;
     reply = APPLIED
  :: else -> reply = FAILED
  fi
}

/* A write: answered, refused, applied without answer, lost, or late. */
inline write(op, claim, revision, reply)
{
  atomic {
    if
    :: true -> apply(op, claim, revision, reply)
    :: reply = UNAVAILABLE
    :: true -> apply(op, claim, revision, reply); reply = UNKNOWN
    :: reply = UNKNOWN
    :: lateOp[0] == NONE ->
       lateOp[0] = op; lateClaim[0] = claim; lateRevision[0] = revision; reply = UNKNOWN
    :: lateOp[0] != NONE && lateOp[1] == NONE ->
       lateOp[1] = op; lateClaim[1] = claim; lateRevision[1] = revision; reply = UNKNOWN
    fi
  }
}

/* A read: seen* hold the row, or the read failed. */
inline read(reply)
{
  atomic {
    if
    :: seenClaim = rowClaim; seenAnswered = rowAnswered; seenRevision = rowRevision; reply = APPLIED
    :: reply = UNKNOWN
    fi
  }
}

/* Late requests take effect or are lost, in any order. */
active proctype Network()
{
  byte ignored;
  mtype reply;
end:
  do
  :: atomic { lateOp[0] != NONE -> apply(lateOp[0], lateClaim[0], lateRevision[0], reply); lateOp[0] = NONE }
  :: atomic { lateOp[1] != NONE -> apply(lateOp[1], lateClaim[1], lateRevision[1], reply); lateOp[1] = NONE }
  od
}

/* ClaimService::Release and ClaimReconciler: deletes the row if it still holds this claim. */
inline release()
{
  write(DELETE, claim, revision, reply);
  tries = 0;
  do
  :: reply == APPLIED && !lost -> break
  :: tries < SETTLE && (reply != APPLIED || lost) ->
     tries++;
     read(reply);
     if
     :: reply == APPLIED && seenClaim == claim && !seenAnswered ->
        write(DELETE, claim, seenRevision, reply)
     :: else
     fi
  :: tries > 0 -> break
  :: tries == 0 && (reply != APPLIED || lost) -> break
  od
}

active [INSTANCES] proctype Instance()
{
  byte claim = 0;
  byte revision = 0;
  byte seenClaim = 0;
  bool seenAnswered = false;
  byte seenRevision = 0;
  bool lost = false;      /* an insert may have taken effect or may still do so */
  byte tries = 0;
  mtype reply = NONE;

idle:
  atomic {
    claim = 0; revision = 0; seenClaim = 0; seenAnswered = false; seenRevision = 0;
    lost = false; tries = 0; reply = NONE
  };
end:
  atomic { lastClaim < CALLS -> lastClaim++; claim = lastClaim };

#ifdef NO_CLAIM
  goto granted;
#endif

insert:
  write(INSERT, claim, 0, reply);
  atomic {
    if
    :: reply == APPLIED -> revision = lastRevision; goto granted_checked
    :: reply == UNAVAILABLE && !lost -> goto idle        /* told unknown */
    :: reply == UNAVAILABLE && lost -> goto abandon
    :: reply == FAILED
    :: reply == UNKNOWN -> lost = true
#ifdef LOST_IS_GRANTED
       ; goto granted
#endif
    fi
  };

read_back:
  tries++;
  read(reply);
  if
  :: reply != APPLIED && tries < 2 -> goto read_back
  :: reply != APPLIED && tries >= 2 -> goto abandon      /* told unknown */
  :: reply == APPLIED && seenClaim == claim -> revision = seenRevision; goto granted
  :: reply == APPLIED && seenClaim == 0 && tries < 2 -> goto insert
  :: reply == APPLIED && seenClaim == 0 && tries >= 2 -> goto abandon
  :: reply == APPLIED && seenClaim != 0 && seenClaim != claim && seenAnswered -> goto abandon /* replay */
  :: reply == APPLIED && seenClaim != 0 && seenClaim != claim && !seenAnswered ->
#ifdef LEASE
     /* The lease of the other holder has run out: take the row over. */
     atomic {
       if
       :: rowRevision == seenRevision && rowClaim != 0 ->
          lastRevision++;
          rowClaim = claim; rowRevision = lastRevision; revision = lastRevision;
          goto granted
       :: else -> goto abandon
       fi
     }
#endif
     goto abandon                                        /* in progress: told unknown */
  fi;

granted_checked:
  skip;
granted:
  if
  :: crashes < CRASHES -> crashes++; goto idle           /* the claim stays without outcome */
  :: goto not_run                                        /* the deadline has passed */
  :: skip                                                /* a pause can come here */
  fi;

dispatch:
  if
  :: goto not_run                                        /* connect failed, or certified */
  :: atomic { runs++; assert(runs <= 1) }                /* ran, answered */
  :: atomic { runs++; assert(runs <= 1) }; goto unknown  /* ran, answer lost */
  :: goto unknown                                        /* lost before it ran */
  :: crashes < CRASHES -> crashes++; goto idle
  fi;

answered:
  write(UPDATE, claim, revision, reply);
  goto idle;                                             /* told answered */

unknown:
#ifdef GUESS_NOT_RUN
  goto not_run;
#endif
  goto idle;                                             /* told unknown; the claim stays */

not_run:
#ifndef ONLY_RUNS
  assert(runs == 0);                                     /* told not-run */
#endif
  if
  :: crashes < CRASHES -> crashes++; goto idle
  :: true -> release()
  fi;
  goto idle;

abandon:
  /* Nothing was dispatched under this claim: a lost insert is released in the background. */
  if
  :: !lost
  :: lost -> reply = UNKNOWN; tries = 0;
     do
     :: tries < SETTLE ->
        tries++;
        read(reply);
        if
        :: reply == APPLIED && seenClaim == claim && !seenAnswered ->
           write(DELETE, claim, seenRevision, reply)
        :: else
        fi
     :: break
     od
  fi;
  goto idle
}
