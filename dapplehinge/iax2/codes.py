"""Names and numbers of RFC 5456, sections 8.2 to 8.7; cause codes are Q.850's, as in section 8.6.21."""

from __future__ import annotations

from enum import IntEnum


class FrameType(IntEnum):
    """Section 8.2."""

    DTMF = 1
    VOICE = 2
    VIDEO = 3
    CONTROL = 4
    NULL = 5
    IAX = 6
    TEXT = 7
    IMAGE = 8
    HTML = 9
    COMFORT_NOISE = 10


class Iax(IntEnum):
    """IAX control subclasses, section 8.4."""

    NEW = 0x01
    PING = 0x02
    PONG = 0x03
    ACK = 0x04
    HANGUP = 0x05
    REJECT = 0x06
    ACCEPT = 0x07
    AUTHREQ = 0x08
    AUTHREP = 0x09
    INVAL = 0x0A
    LAGRQ = 0x0B
    LAGRP = 0x0C
    REGREQ = 0x0D
    REGAUTH = 0x0E
    REGACK = 0x0F
    REGREJ = 0x10
    REGREL = 0x11
    VNAK = 0x12
    DPREQ = 0x13
    DPREP = 0x14
    DIAL = 0x15
    TXREQ = 0x16
    TXCNT = 0x17
    TXACC = 0x18
    TXREADY = 0x19
    TXREL = 0x1A
    TXREJ = 0x1B
    QUELCH = 0x1C
    UNQUELCH = 0x1D
    POKE = 0x1E
    MWI = 0x20
    UNSUPPORT = 0x21
    TRANSFER = 0x22
    CALLTOKEN = 0x28


class Control(IntEnum):
    """Control frame subclasses, section 8.3."""

    HANGUP = 0x01
    RINGING = 0x03
    ANSWER = 0x04
    BUSY = 0x05
    CONGESTION = 0x08
    FLASH_HOOK = 0x09
    OPTION = 0x0B
    KEY_RADIO = 0x0C
    UNKEY_RADIO = 0x0D
    PROGRESS = 0x0E
    PROCEEDING = 0x0F
    HOLD = 0x10
    UNHOLD = 0x11


class Ie(IntEnum):
    """Information elements, section 8.6; VARIABLE is outside the RFC, in wide use for name=value pairs."""

    CALLED_NUMBER = 0x01
    CALLING_NUMBER = 0x02
    CALLING_ANI = 0x03
    CALLING_NAME = 0x04
    CALLED_CONTEXT = 0x05
    USERNAME = 0x06
    PASSWORD = 0x07
    CAPABILITY = 0x08
    FORMAT = 0x09
    LANGUAGE = 0x0A
    VERSION = 0x0B
    ADSICPE = 0x0C
    DNID = 0x0D
    AUTHMETHODS = 0x0E
    CHALLENGE = 0x0F
    MD5_RESULT = 0x10
    RSA_RESULT = 0x11
    APPARENT_ADDR = 0x12
    REFRESH = 0x13
    DPSTATUS = 0x14
    CALLNO = 0x15
    CAUSE = 0x16
    IAX_UNKNOWN = 0x17
    MSGCOUNT = 0x18
    AUTOANSWER = 0x19
    MUSICONHOLD = 0x1A
    TRANSFERID = 0x1B
    RDNIS = 0x1C
    DATETIME = 0x1F
    SERVICEIDENT = 0x21
    FIRMWAREVER = 0x22
    FWBLOCKDESC = 0x23
    FWBLOCKDATA = 0x24
    PROVVER = 0x25
    CALLINGPRES = 0x26
    CALLINGTON = 0x27
    CALLINGTNS = 0x28
    SAMPLINGRATE = 0x29
    CAUSECODE = 0x2A
    ENCRYPTION = 0x2B
    ENCKEY = 0x2C
    CODEC_PREFS = 0x2D
    RR_JITTER = 0x2E
    RR_LOSS = 0x2F
    RR_PKTS = 0x30
    RR_DELAY = 0x31
    RR_DROPPED = 0x32
    RR_OOO = 0x33
    OSPTOKEN = 0x34
    VARIABLE = 0x35
    CALLTOKEN = 0x36


class CauseCode(IntEnum):
    """Causes of HANGUP and REJECT that this program sends or tells apart, section 8.6.21."""

    NONE = 0
    UNALLOCATED_NUMBER = 1
    NO_ROUTE_TO_DESTINATION = 3
    NORMAL_CLEARING = 16
    USER_BUSY = 17
    NO_USER_RESPONDING = 18
    NO_ANSWER = 19
    CALL_REJECTED = 21
    DESTINATION_OUT_OF_ORDER = 27
    INVALID_NUMBER_FORMAT = 28
    FACILITY_REJECTED = 29
    NORMAL_UNSPECIFIED = 31
    NO_CIRCUIT_AVAILABLE = 34
    NETWORK_OUT_OF_ORDER = 38
    TEMPORARY_FAILURE = 41
    SWITCH_CONGESTION = 42
    REQUESTED_CHANNEL_UNAVAILABLE = 44
    RESOURCE_UNAVAILABLE = 47
    OUTGOING_CALL_BARRED = 52
    BEARER_NOT_AVAILABLE = 58
    SERVICE_NOT_IMPLEMENTED = 79
    INVALID_CALL_REFERENCE = 81
    INCOMPATIBLE_DESTINATION = 88
    MANDATORY_IE_MISSING = 96
    RECOVERY_ON_TIMER_EXPIRY = 102
    PROTOCOL_ERROR = 111
    INTERWORKING = 127


class AuthMethod(IntEnum):
    """Bits of AUTHMETHODS, section 8.6.13."""

    MD5 = 0x0002
    RSA = 0x0004


PROTOCOL_VERSION = 2
"""Value of the VERSION element, section 8.6.10."""

FORMAT_ULAW = 0x00000004
FORMAT_ALAW = 0x00000008
FORMAT_GSM = 0x00000002
FORMAT_SLINEAR = 0x00000040
"""Media format bits, section 8.7."""

OUT_OF_SEQUENCE = frozenset({Iax.ACK, Iax.INVAL, Iax.TXCNT, Iax.TXACC, Iax.VNAK})
"""IAX control frames that take no sequence number and get no ACK, section 7."""
