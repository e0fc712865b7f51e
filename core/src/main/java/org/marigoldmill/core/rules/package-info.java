/** Validation of settings and declarations against the rules in the schema. */
package org.marigoldmill.core.rules;
