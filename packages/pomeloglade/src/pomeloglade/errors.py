"""Exceptions of the router."""

from pomeloglade_coordination.errors import CoordinationError


class RouterError(CoordinationError):
    """Base of the router's errors; carries the step and the peer."""


class BadRequestError(RouterError):
    """A caller's request is malformed."""


class BackendError(RouterError):
    """Base of the errors of a call to a backend server."""


class BackendUnreachableError(BackendError):
    """No connection was made, so the backend server has received nothing."""


class BackendNotServingError(BackendUnreachableError):
    """The backend server no longer takes the service's calls; nothing was sent."""


class BackendLostError(BackendError):
    """The connection broke after bytes were sent, so the call may have run."""


class BackendSilentError(BackendLostError):
    """The backend server sent nothing for too long; its connection may be sound."""


class BackendOutOfMemoryError(BackendError):
    """The engine has no memory left for the request."""


class InvalidBackendResponseError(BackendError):
    """The backend server's answer does not follow its protocol."""


class WrongContinuationError(InvalidBackendResponseError):
    """The answer does not go on with the stream of which the caller has a part."""


class BackendRefusedError(BackendError):
    """The backend server understood the call and declined it."""


class SettingsError(RouterError):
    """The settings are missing or invalid, so the process can't start."""


class BadConfigurationError(RouterError):
    """A stored configuration can't be decoded."""


class BadRegistrationError(RouterError):
    """A backend server's registration is invalid, so the server gets no calls."""
