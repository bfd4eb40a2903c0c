"""Represent the configuration in force."""

import msgspec

from basilspindle.config import document as document_module
from basilspindle.config import publication as publication_module


class AcceptedConfiguration(msgspec.Struct, frozen=True, kw_only=True):
    """An accepted publication and the document merged from it."""

    version: int
    publication: publication_module.Publication
    document: document_module.Document
