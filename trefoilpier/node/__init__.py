"""The entry VM process: blackboard, controllers and daemon."""

from trefoilpier.node.config_controller import ConfigController
from trefoilpier.node.leaf_controller import LeafController
from trefoilpier.node.node import Node, NodeDependencies

__all__ = ["ConfigController", "LeafController", "Node", "NodeDependencies"]
