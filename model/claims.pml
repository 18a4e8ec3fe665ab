/*
 * At-most-once execution (docs/design.md, section 5): several instances serve calls with the same
 * idempotency key. Requests to the table and its replies can be lost or delayed. docs/model.md maps
 * the steps to the code.
 *
 * Pauses of an instance need no step of their own: any number of steps of other processes can come
 * between two steps of an instance.
 * -DONLY_RUNS disables the assertion on not-run, so that a mutant reaches the assertion on runs.
 * Select mutants with -DNO_CLAIM, -DLEASE, -DDELETE_ANY, -DLOST_IS_GRANTED or -DGUESS_NOT_RUN.
 */

#define INSTANCES 2
#define CALLS 3       /* calls with the key at all instances together */
#define CRASHES 1     /* at all instances together */
#define MAX_DELAYED 2 /* requests that are delayed at the same time */
#define RELEASE_RETRIES 1

mtype = { NONE, INSERT, UPDATE, DELETE };           /* requests */
mtype = { APPLIED, FAILED, UNAVAILABLE, UNKNOWN };  /* replies */

/* The row of the key. Revisions are unique. */
byte rowClaim = 0;       /* 0: no row */
bool rowAnswered = false;
byte rowRevision = 0;
byte lastRevision = 0;

/* Requests whose senders have given up waiting; they can still take effect. */
mtype delayedOp[MAX_DELAYED] = NONE;
byte delayedClaim[MAX_DELAYED];
byte delayedRevision[MAX_DELAYED];

byte lastClaim = 0;
byte crashes = 0;
byte runs = 0;           /* runs of calls with the key at an upstream */

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

/* A write: applied or failed with a reply, refused, applied but reply lost, lost, or delayed. */
inline write(op, claim, revision, reply)
{
  atomic {
    if
    :: true -> apply(op, claim, revision, reply)
    :: reply = UNAVAILABLE
    :: true -> apply(op, claim, revision, reply); reply = UNKNOWN
    :: reply = UNKNOWN
    :: delayedOp[0] == NONE ->
       delayedOp[0] = op; delayedClaim[0] = claim; delayedRevision[0] = revision; reply = UNKNOWN
    :: delayedOp[0] != NONE && delayedOp[1] == NONE ->
       delayedOp[1] = op; delayedClaim[1] = claim; delayedRevision[1] = revision; reply = UNKNOWN
    fi
  }
}

/* A read: copies the row to seenClaim, seenAnswered and seenRevision, or fails. */
inline read(reply)
{
  atomic {
    if
    :: seenClaim = rowClaim; seenAnswered = rowAnswered; seenRevision = rowRevision; reply = APPLIED
    :: reply = UNKNOWN
    fi
  }
}

/* Delayed requests take effect in any order, or never. */
active proctype Network()
{
  byte ignored;
  mtype reply;
end:
  do
  :: atomic { delayedOp[0] != NONE ->
       apply(delayedOp[0], delayedClaim[0], delayedRevision[0], reply); delayedOp[0] = NONE }
  :: atomic { delayedOp[1] != NONE ->
       apply(delayedOp[1], delayedClaim[1], delayedRevision[1], reply); delayedOp[1] = NONE }
  od
}

/* ClaimService::Release and ClaimReconciler: deletes the row if it still holds this claim. */
inline release()
{
  write(DELETE, claim, revision, reply);
  tries = 0;
  do
  :: reply == APPLIED && !lost -> break
  :: tries < RELEASE_RETRIES && (reply != APPLIED || lost) ->
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
  bool lost = false;      /* an insert got no reply; it may take effect at any time */
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
    :: reply == UNAVAILABLE && !lost -> goto idle        /* outcome unknown */
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
  :: reply != APPLIED && tries >= 2 -> goto abandon      /* outcome unknown */
  :: reply == APPLIED && seenClaim == claim -> revision = seenRevision; goto granted
  :: reply == APPLIED && seenClaim == 0 && tries < 2 -> goto insert
  :: reply == APPLIED && seenClaim == 0 && tries >= 2 -> goto abandon
  :: reply == APPLIED && seenClaim != 0 && seenClaim != claim && seenAnswered -> goto abandon /* replay */
  :: reply == APPLIED && seenClaim != 0 && seenClaim != claim && !seenAnswered ->
#ifdef LEASE
     /* The lease of the other instance has expired: take over the row. */
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
     goto abandon                                        /* in progress: outcome unknown */
  fi;

granted_checked:
  skip;
granted:
  if
  :: crashes < CRASHES -> crashes++; goto idle           /* the claim stays without an outcome */
  :: goto not_run                                        /* the deadline has passed */
  :: skip                                                /* the instance can be paused here */
  fi;

dispatch:
  if
  :: goto not_run                                        /* connect failed, or upstream says not run */
  :: atomic { runs++; assert(runs <= 1) }                /* ran, answered */
  :: atomic { runs++; assert(runs <= 1) }; goto unknown  /* ran, answer lost */
  :: goto unknown                                        /* lost before it ran */
  :: crashes < CRASHES -> crashes++; goto idle
  fi;

answered:
  write(UPDATE, claim, revision, reply);
  goto idle;                                             /* outcome answered */

unknown:
#ifdef GUESS_NOT_RUN
  goto not_run;
#endif
  goto idle;                                             /* outcome unknown; the claim stays */

not_run:
#ifndef ONLY_RUNS
  assert(runs == 0);                                     /* outcome not-run */
#endif
  if
  :: crashes < CRASHES -> crashes++; goto idle
  :: true -> release()
  fi;
  goto idle;

abandon:
  /* Nothing was dispatched under this claim. If an insert got no reply, its row is released later. */
  if
  :: !lost
  :: lost -> reply = UNKNOWN; tries = 0;
     do
     :: tries < RELEASE_RETRIES ->
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
