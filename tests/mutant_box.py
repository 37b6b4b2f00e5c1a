"""A box with a fault built in, for trials that must find it: `mutant_box.py KIND run FILE --fd N`."""

import sys

from dapplehinge.calls.actions import Place
from dapplehinge.cli.main import main
from dapplehinge.iax2.codes import Control, FrameType, Iax, Ie
from dapplehinge.iax2.elements import write_elements
from dapplehinge.proxy.port import clock
from dapplehinge.proxy.server import Server


def second_attempt_early():
    place = Server._place

    def twice(self, action, now):
        if action.attempt == 0 and action.call % 5 == 0:
            place(self, Place(action.call, 99, action.exchange, False, action.budget), now)
        return place(self, action, now)

    Server._place = twice


def answer_doubled():
    tell = Server._tell

    def twice(self, call, attempt, control, now):
        tell(self, call, attempt, control, now)
        legs = self.calls.get(call)
        if control is Control.RINGING and legs is not None and call % 5 == 0:
            reject = write_elements({Ie.CAUSE: "", Ie.CAUSECODE: 42})
            legs.caller.exchange.send(int(FrameType.IAX), int(Iax.REJECT), reject, clock())

    Server._tell = twice


def leg_left():
    drop = Server._end

    def forgotten(self, action, now):
        legs = self.calls.get(action.call)
        if legs is not None and action.call % 3 == 0:
            self._over(action.call, "mutant", action.cause, now)
            del self.calls[action.call]
            return
        drop(self, action, now)

    Server._end = forgotten


{"second-attempt-early": second_attempt_early, "answer-doubled": answer_doubled, "leg-left": leg_left}[
    sys.argv.pop(1)
]()
main()
