/*
 * Propagation of the configuration of one service to the instances (docs/design.md, sections 6 and
 * 7). docs/model.md maps the steps to the code. Mutant: -DACCEPT_ANY.
 */

#define INSTANCES 3
#define VERSIONS 2
#define RESTARTS 1
#define READS 2              /* reads of the table by each instance in one run */

byte rowVersion = 0;         /* accepted by the table, see publish.pml */
bool tableDown = false;
byte have[INSTANCES];        /* version in force; 0: none, not ready */
byte restarts = 0;

/* Versions on their way to an instance from its peers, which can be delayed for any time. */
chan toInstance[INSTANCES] = [1] of { byte };

/* Publishes take effect one after the other. */
active proctype Publishers()
{
end:
  do
  :: atomic { !tableDown && rowVersion < VERSIONS -> rowVersion++ }
  od
}

/* Outages of the table begin and end at any time. */
active proctype Outages()
{
  byte changes = 0;
end:
  do
  :: atomic { changes < 2 -> changes++; tableDown = !tableDown }
  od
}

/* ConfigRegistry: accepts only versions that are higher than its own. */
inline accept(version)
{
  if
#ifdef ACCEPT_ANY
  :: true ->
#else
  :: version > have[me] ->
#endif
     assert(version >= have[me]);
     have[me] = version
  :: else
  fi
}

active [INSTANCES] proctype Instance()
{
  byte me = _pid - 2;
  byte seen = 0;
  byte reads = 0;
  byte got = 0;

end:
  do
  /* A read of the table; its answer is handled some time later, when it may be stale. */
  :: atomic { !tableDown && reads < READS && rowVersion > 0 -> reads++; seen = rowVersion }
  :: atomic { seen > 0 -> accept(seen); seen = 0 }
  /* Relay to a peer; dropped if its queue is full. */
  :: atomic { have[me] > 0 && nfull(toInstance[(me + 1) % INSTANCES]) ->
       toInstance[(me + 1) % INSTANCES]!have[me] }
  :: atomic { have[me] > 0 && nfull(toInstance[(me + 2) % INSTANCES]) ->
       toInstance[(me + 2) % INSTANCES]!have[me] }
  :: atomic { toInstance[me]?got -> accept(got); got = 0 }
  /* Restart, also while the table is down: everything is forgotten, messages remain on their way. */
  :: atomic { restarts < RESTARTS -> restarts++; have[me] = 0; seen = 0; reads = 0 }
  od
}
