"""A box with a fault built in, for trials that must find it: `mutant_box.py KIND run FILE --fd N`."""

import sys
from dataclasses import replace

from dapplehinge.calls.actions import Place
from dapplehinge.calls.core import CallCore
from dapplehinge.calls.deadline import Ages
from dapplehinge.cli.main import main
from dapplehinge.iax2.codes import Control, FrameType, Iax, Ie
from dapplehinge.iax2.elements import write_elements
from dapplehinge.limits.answers import Answers
from dapplehinge.membership.vigil import Finding, Vigil
from dapplehinge.proxy.clock import clock
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


def forgetful_refusal():
    Answers.find = lambda self, opening: None


def no_question():
    Vigil.look = lambda self, heard, out_since, now: (Finding.WELL, now + 1e9)


def outstays_its_time():
    Ages.age = lambda self, clock_, said, now: 0.0
    take = CallCore.offered

    def longer(self, call, offer, now):
        more = offer if offer.budget is None else replace(offer, budget=offer.budget + 1500.0)
        return take(self, call, more, now)

    CallCore.offered = longer


def doubt_untold():
    end = Server._end
    Server._end = lambda self, action, now: end(self, replace(action, doubtful=None), now)


{"second-attempt-early": second_attempt_early, "answer-doubled": answer_doubled, "leg-left": leg_left,
 "forgetful-refusal": forgetful_refusal, "no-question": no_question, "outstays-its-time": outstays_its_time,
 "doubt-untold": doubt_untold}[sys.argv.pop(1)]()  # fmt: skip
main()
