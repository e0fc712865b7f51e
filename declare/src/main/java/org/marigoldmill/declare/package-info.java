/** Library for operators: a fluent builder that validates and prints a declaration. */
package org.marigoldmill.declare;
