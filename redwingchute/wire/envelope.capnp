@0x9f3b6b1b3c9f4a00;
# Every message between routers and every record of the ledger and of the
# configuration stream is one envelope. The codec returns a kind that is not
# registered, such as one from a newer release, undecoded.

struct Envelope {
  kind @0 :UInt16;
  correlation @1 :UInt64;
  body @2 :Data;
}
