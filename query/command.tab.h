/* A Bison parser, made by GNU Bison 3.8.2.  */

/* Bison interface for Yacc-like parsers in C

   Copyright (C) 1984, 1989-1990, 2000-2015, 2018-2021 Free Software Foundation,
   Inc.

   This program is free software: you can redistribute it and/or modify
   it under the terms of the GNU General Public License as published by
   the Free Software Foundation, either version 3 of the License, or
   (at your option) any later version.

   This program is distributed in the hope that it will be useful,
   but WITHOUT ANY WARRANTY; without even the implied warranty of
   MERCHANTABILITY or FITNESS FOR A PARTICULAR PURPOSE.  See the
   GNU General Public License for more details.

   You should have received a copy of the GNU General Public License
   along with this program.  If not, see <https://www.gnu.org/licenses/>.  */

/* As a special exception, you may create a larger work that contains
   part or all of the Bison parser skeleton and distribute that work
   under terms of your choice, so long as that work isn't itself a
   parser generator using the skeleton or a modified version thereof
   as a parser skeleton.  Alternatively, if you modify or redistribute
   the parser skeleton itself, you may (at your option) remove this
   special exception, which will cause the skeleton and the resulting
   Bison output files to be licensed under the GNU General Public
   License without this special exception.

   This special exception was added by the Free Software Foundation in
   version 2.2 of Bison.  */

/* DO NOT RELY ON FEATURES THAT ARE NOT DOCUMENTED in the manual,
   especially those whose name start with YY_ or yy_.  They are
   private implementation details that can be changed or removed.  */

#ifndef YY_KQ_QUERY_YY_QUERY_COMMAND_TAB_H_INCLUDED
# define YY_KQ_QUERY_YY_QUERY_COMMAND_TAB_H_INCLUDED
/* Debug traces.  */
#ifndef KQ_QUERY_YYDEBUG
# if defined YYDEBUG
#if YYDEBUG
#   define KQ_QUERY_YYDEBUG 1
#  else
#   define KQ_QUERY_YYDEBUG 0
#  endif
# else /* ! defined YYDEBUG */
#  define KQ_QUERY_YYDEBUG 0
# endif /* ! defined YYDEBUG */
#endif  /* ! defined KQ_QUERY_YYDEBUG */
#if KQ_QUERY_YYDEBUG
extern int kq_query_yydebug;
#endif
/* "%code requires" blocks.  */
#line 13 "query/command.y"

#include "query/parser.h"

#line 61 "query/command.tab.h"

/* Token kinds.  */
#ifndef KQ_QUERY_YYTOKENTYPE
# define KQ_QUERY_YYTOKENTYPE
  enum kq_query_yytokentype
  {
    KQ_QUERY_YYEMPTY = -2,
    END = 0,                       /* "the end"  */
    KQ_QUERY_YYerror = 256,        /* error  */
    KQ_QUERY_YYUNDEF = 257,        /* "invalid token"  */
    SHOW = 258,                    /* "show"  */
    WHY = 259,                     /* "why"  */
    TRACE = 260,                   /* "trace"  */
    SUBMIT = 261,                  /* "submit"  */
    CANCEL = 262,                  /* "cancel"  */
    DRAIN = 263,                   /* "drain"  */
    UNDRAIN = 264,                 /* "undrain"  */
    CONFIGURE = 265,               /* "configure"  */
    HOSTS = 266,                   /* "hosts"  */
    WORKERS = 267,                 /* "workers"  */
    SERVICES = 268,                /* "services"  */
    JOBS = 269,                    /* "jobs"  */
    TASKS = 270,                   /* "tasks"  */
    SHARDS = 271,                  /* "shards"  */
    CONFIGURATION = 272,           /* "configuration"  */
    HISTORY = 273,                 /* "history"  */
    WHERE = 274,                   /* "where"  */
    AND = 275,                     /* "and"  */
    TASK = 276,                    /* "task"  */
    JOB = 277,                     /* "job"  */
    REQUEST = 278,                 /* "request"  */
    WORKER = 279,                  /* "worker"  */
    HOST = 280,                    /* "host"  */
    BASE = 281,                    /* "base"  */
    TEAM = 282,                    /* "team"  */
    CPU = 283,                     /* "cpu"  */
    MEMORY = 284,                  /* "memory"  */
    ACCELERATORS = 285,            /* "accelerators"  */
    RUN = 286,                     /* "run"  */
    ZONE = 287,                    /* "zone"  */
    IMPORTANCE = 288,              /* "importance"  */
    SERVICE = 289,                 /* "service"  */
    EQ = 290,                      /* "="  */
    NE = 291,                      /* "!="  */
    LT = 292,                      /* "<"  */
    LE = 293,                      /* "<="  */
    GT = 294,                      /* ">"  */
    GE = 295,                      /* ">="  */
    WORD = 296,                    /* "a word"  */
    STRING = 297,                  /* "a quoted text"  */
    DOCUMENT = 298,                /* "a JSON object"  */
    UNKNOWN = 299                  /* "an unknown character"  */
  };
  typedef enum kq_query_yytokentype kq_query_yytoken_kind_t;
#endif

/* Value type.  */
#if ! defined KQ_QUERY_YYSTYPE && ! defined KQ_QUERY_YYSTYPE_IS_DECLARED
union KQ_QUERY_YYSTYPE
{
#line 45 "query/command.y"

  enum kq_table table;
  enum kq_query_op op;

#line 127 "query/command.tab.h"

};
typedef union KQ_QUERY_YYSTYPE KQ_QUERY_YYSTYPE;
# define KQ_QUERY_YYSTYPE_IS_TRIVIAL 1
# define KQ_QUERY_YYSTYPE_IS_DECLARED 1
#endif

/* Location type.  */
typedef struct kq_query_location KQ_QUERY_YYLTYPE;




int kq_query_yyparse (void *scanner, struct kq_query_parser *parser);


#endif /* !YY_KQ_QUERY_YY_QUERY_COMMAND_TAB_H_INCLUDED  */
